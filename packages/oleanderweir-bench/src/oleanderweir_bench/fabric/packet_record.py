"""A packet that the fabric carried."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.fabric.direction import Direction


@attrs.frozen(kw_only=True)
class PacketRecord:
    """
    A packet as the fabric took it, before any loss or delay.

    ``time_s`` is on trio's clock.
    """

    time_s: float
    direction: Direction
    caller: SocketAddress
    balancer: SocketAddress
    data: bytes
