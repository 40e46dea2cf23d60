from __future__ import annotations

from prometheus_client import CollectorRegistry

from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_agent.metrics import RelayOutcome


def test_every_relay_outcome_starts_at_zero() -> None:
    registry = CollectorRegistry()
    metrics = AgentMetrics(registry=registry)
    metrics.relays[RelayOutcome.LOST].inc()

    relays = [
        registry.get_sample_value(
            "oleanderweir_agent_relays_total", {"outcome": outcome.value}
        )
        for outcome in (RelayOutcome.ACCEPTED, RelayOutcome.REJECTED, RelayOutcome.LOST)
    ]
    assert relays == [0, 0, 1]
