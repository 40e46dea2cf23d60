"""Counters of the balancer."""

from __future__ import annotations

from oleanderweir_balancer.metrics.balancer_metrics import BalancerMetrics


__all__ = ["BalancerMetrics"]
