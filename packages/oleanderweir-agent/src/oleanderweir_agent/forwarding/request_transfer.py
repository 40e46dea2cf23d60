"""A request whose packets are still arriving."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.flows import SEQUENCE_MODULUS


if TYPE_CHECKING:
    from oleanderweir.flows import Packet


@attrs.define(kw_only=True, eq=False)
class RequestTransfer:
    """
    Tracks which bytes of a request have arrived, by the lengths of its packets.

    A full packet announces another one, so the first packet that isn't full is the last
    of its request. ``began_at`` is when the first one arrived, in seconds of trio's
    clock, and ``origin`` the sequence number of the first byte that is expected. Other
    positions count from there: ``size_bytes`` is the number of bytes up to the last one
    that arrived, ``missing`` has the ranges before it that were left out, and
    ``has_end`` tells that the last packet has arrived.
    """

    began_at: float
    origin: int
    size_bytes: int = 0
    missing: list[tuple[int, int]] = attrs.field(factory=list)
    has_end: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether all bytes of the request have arrived."""
        return self.has_end and not self.missing

    def record(self, packet: Packet) -> None:
        """Record the payload of a packet, which may be a copy or out of order."""
        start = (packet.sequence - self.origin) % SEQUENCE_MODULUS
        if start >= SEQUENCE_MODULUS // 2:
            # A copy of a packet from before this request.
            return
        end = start + packet.payload_bytes
        if start < self.size_bytes:
            self._fill(start, end)
            return
        if start > self.size_bytes:
            self.missing.append((self.size_bytes, start))
        self.size_bytes = end
        self.has_end = not packet.is_full

    def _fill(self, start: int, end: int) -> None:
        """Remove the bytes of a late packet from those that are missing."""
        parts = [
            part
            for left, right in self.missing
            for part in ((left, min(right, start)), (max(left, end), right))
        ]
        self.missing = [(left, right) for left, right in parts if left < right]
