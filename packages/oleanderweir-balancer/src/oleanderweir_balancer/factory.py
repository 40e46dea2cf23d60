"""Builds a balancer from validated settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from oleanderweir.control import ControlPlane
from oleanderweir.membership import InstanceRole
from oleanderweir_balancer.balancer import Balancer
from oleanderweir_balancer.metrics import BalancerMetrics


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from oleanderweir_balancer.settings import BalancerSettings


def create_balancer(
    settings: BalancerSettings, *, registry: CollectorRegistry
) -> Balancer:
    """Return a balancer with bound sockets; raises ``AddressInUseError``."""
    control_plane = ControlPlane(
        settings=settings,
        role=InstanceRole.BALANCER,
        data_address=settings.back_address,
    )
    return Balancer(
        back_address=settings.back_address,
        bind_host=settings.bind_host,
        key_ring=settings.key_ring,
        configuration=control_plane.view,
        control_plane=control_plane,
        metrics=BalancerMetrics(registry=registry),
        random_source=random.Random(),
    )
