"""Forwards packets to the agents whose backend servers hold the flows."""

from __future__ import annotations

from oleanderweir_balancer.forwarding.balancer_transport import BalancerTransport
from oleanderweir_balancer.forwarding.flow_cache import FlowCache
from oleanderweir_balancer.forwarding.packet_balancer import PacketBalancer
from oleanderweir_balancer.forwarding.packet_balancer_settings import (
    PacketBalancerSettings,
)
from oleanderweir_balancer.forwarding.placement_policy import PlacementPolicy


__all__ = [
    "BalancerTransport",
    "FlowCache",
    "PacketBalancer",
    "PacketBalancerSettings",
    "PlacementPolicy",
]
