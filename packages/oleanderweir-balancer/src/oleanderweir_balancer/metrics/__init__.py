"""Prometheus metrics of the balancer."""

from __future__ import annotations

from oleanderweir_balancer.metrics.balancer_metrics import BalancerMetrics
from oleanderweir_balancer.metrics.unhedged_reason import UnhedgedReason


__all__ = ["BalancerMetrics", "UnhedgedReason"]
