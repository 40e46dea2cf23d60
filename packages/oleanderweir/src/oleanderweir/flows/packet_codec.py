"""The interface for decoding packets and encoding reset packets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows.flow_key import FlowKey
    from oleanderweir.flows.packet import Packet


class PacketCodec(Protocol):
    """The format of packets on the wire."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        """Decode a caller's packet; return ``None`` if the data is invalid."""

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        """
        Decode a packet that a backend server sent or returned.

        Return ``None`` if the data is invalid. The key is that of the caller's flow,
        for a returned packet too.
        """

    def restore(self, packet: Packet) -> bytes:
        """Return the original datagram of the caller from a returned packet."""

    def make_reset(self, key: FlowKey, *, sequence: int) -> bytes:
        """Return a packet that resets a flow at its caller."""
