"""How packets are read and reset packets are written."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows.flow_key import FlowKey
    from oleanderweir.flows.packet import Packet


class PacketCodec(Protocol):
    """The format of packets on the wire."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        """Return a packet that a caller sent, or nothing if it is none."""

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        """
        Return a packet that a backend server sent or gave back, or nothing.

        The key of a packet that it gave back is that of the caller's flow too.
        """

    def restore(self, packet: Packet) -> bytes:
        """Return a packet that was given back as the caller had sent it."""

    def make_reset(self, key: FlowKey, *, sequence: int) -> bytes:
        """Return a reset of a flow, to be sent to its caller."""
