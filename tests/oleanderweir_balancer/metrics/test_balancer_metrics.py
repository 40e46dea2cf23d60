from __future__ import annotations

from prometheus_client import CollectorRegistry

from oleanderweir_balancer.drop_reason import DropReason
from oleanderweir_balancer.metrics import BalancerMetrics
from oleanderweir_balancer.metrics import UnhedgedReason


def test_every_reason_starts_at_zero() -> None:
    registry = CollectorRegistry()
    metrics = BalancerMetrics(registry=registry)
    metrics.dropped[DropReason.WRONG_SERVICE].inc()

    dropped = {
        reason: registry.get_sample_value(
            "oleanderweir_balancer_packets_dropped_total", {"reason": reason.value}
        )
        for reason in DropReason
    }
    assert dropped.pop(DropReason.WRONG_SERVICE) == 1
    assert set(dropped.values()) == {0}
    assert metrics.unhedged.keys() == set(UnhedgedReason)
