"""Counts of what the fabric carried."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class FabricCounters:
    """
    Counts of packets since the start.

    ``dropped_without_balancer`` counts packets that came while no balancer was set,
    ``dropped_strange`` those towards a caller that no balancer sent.
    """

    to_balancer: int = 0
    to_caller: int = 0
    dropped_by_loss: int = 0
    dropped_by_cut: int = 0
    dropped_without_balancer: int = 0
    dropped_strange: int = 0
    dropped_by_full_socket: int = 0
    duplicated: int = 0
    reordered: int = 0
