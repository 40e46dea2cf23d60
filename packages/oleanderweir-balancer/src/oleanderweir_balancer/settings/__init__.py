"""Settings of the balancer."""

from __future__ import annotations

from oleanderweir_balancer.settings.balancer_settings import BalancerSettings


__all__ = ["BalancerSettings"]
