"""How the two ends of a flow write packets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


class EndpointCodec(Protocol):
    """Reads and writes the packets of callers and backend servers."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        """Return the packet of a caller, or nothing if it is none."""

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        """Return the packet of a backend server, or nothing if it is none."""

    def encode(
        self,
        key: FlowKey,
        *,
        is_from_caller: bool,
        is_opening: bool = False,
        is_acknowledging: bool = False,
        sequence: int = 0,
        acknowledged: int = 0,
        payload_bytes: int = 0,
    ) -> bytes:
        """Return the datagram of a packet."""

    def encode_returned(self, packet: Packet) -> bytes:
        """Return a caller's packet as a backend server gives it back."""

    def is_intact(self, packet: Packet) -> bool:
        """Whether a packet is as its sender wrote it."""
