"""A record of one packet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.fabric.direction import Direction


@attrs.frozen(kw_only=True)
class PacketRecord:
    """
    A packet as the fabric received it, before the conditions are applied.

    ``time_s`` is on trio's clock, in seconds.
    """

    time_s: float
    direction: Direction
    caller: SocketAddress
    balancer: SocketAddress
    data: bytes
