"""The Prometheus counters of a balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter

from oleanderweir_balancer.drop_reason import DropReason
from oleanderweir_balancer.metrics.unhedged_reason import UnhedgedReason


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class BalancerMetrics:
    """Counters of forwarded and dropped packets, with labels bound in advance."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        forwarded = Counter(
            "oleanderweir_balancer_packets_forwarded",
            "Packets forwarded, by direction.",
            ["direction"],
            registry=registry,
        )
        dropped = Counter(
            "oleanderweir_balancer_packets_dropped",
            "Packets dropped, by reason.",
            ["reason"],
            registry=registry,
        )
        self.forwarded_to_agent = forwarded.labels("to_agent")
        self.forwarded_to_caller = forwarded.labels("to_caller")
        self.dropped = {reason: dropped.labels(reason.value) for reason in DropReason}
        self.new_flows = Counter(
            "oleanderweir_balancer_new_flows",
            "First packets of new flows that were offered to an agent.",
            registry=registry,
        )
        self.hedges = Counter(
            "oleanderweir_balancer_hedges",
            "New flows offered to a second agent since the first was silent.",
            registry=registry,
        )
        unhedged = Counter(
            "oleanderweir_balancer_unhedged",
            "New flows that no second agent could be offered, by reason.",
            ["reason"],
            registry=registry,
        )
        self.unhedged = {
            reason: unhedged.labels(reason.value) for reason in UnhedgedReason
        }
