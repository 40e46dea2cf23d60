"""The packet counters of the fabric."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class FabricCounters:
    """
    The numbers of packets since the start.

    ``dropped_without_balancer`` counts packets that were received while the fabric had
    no balancer, ``dropped_strange`` packets to a caller whose sender was never added as
    a balancer, and ``dropped_by_full_socket`` packets that the socket could not send.
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
