"""The Prometheus metrics of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter
from prometheus_client import Gauge

from oleanderweir_agent.drop_reason import DropReason
from oleanderweir_agent.metrics.relay_outcome import RelayOutcome


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class AgentMetrics:
    """
    Metrics of packets, sessions, requests and drains.

    Label values known in advance are bound at creation, so that their counters start
    at 0.
    """

    def __init__(self, *, registry: CollectorRegistry) -> None:
        dropped = Counter(
            "oleanderweir_agent_packets_dropped",
            "Packets dropped, by reason.",
            ["reason"],
            registry=registry,
        )
        self.dropped = {reason: dropped.labels(reason.value) for reason in DropReason}
        self.retries_sent = Counter(
            "oleanderweir_agent_quic_retries_sent",
            "Retry packets that name the agent of a new flow.",
            registry=registry,
        )
        self.sessions = Gauge(
            "oleanderweir_agent_sessions",
            "Connections of callers that are open.",
            registry=registry,
        )
        self.requests = Counter(
            "oleanderweir_agent_requests",
            "Requests, by the verdict that the caller was given.",
            ["verdict"],
            registry=registry,
        )
        relays = Counter(
            "oleanderweir_agent_relays",
            "Requests offered to a peer agent, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.relays = {
            outcome: relays.labels(outcome.value) for outcome in RelayOutcome
        }
        self.invalid_load_reports = Counter(
            "oleanderweir_agent_invalid_load_reports",
            "Datagrams that were no load report of this installation.",
            registry=registry,
        )
        self.drains = Counter(
            "oleanderweir_agent_drains",
            "Drains that began, by ticket or by signal.",
            registry=registry,
        )

    def count_drop(self, reason: DropReason) -> None:
        """Count a dropped packet."""
        self.dropped[reason].inc()
