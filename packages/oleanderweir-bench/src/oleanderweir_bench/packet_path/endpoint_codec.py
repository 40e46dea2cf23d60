"""Encoding of packets at the endpoints of a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


class EndpointCodec(Protocol):
    """Encodes and decodes the packets of callers and backend servers."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        """Decode a caller's packet; return ``None`` if it is invalid."""

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        """Decode a backend server's packet; return ``None`` if it is invalid."""

    def encode(
        self,
        key: FlowKey,
        *,
        is_from_caller: bool,
        is_opening: bool = False,
        is_acknowledging: bool = False,
        is_final: bool = False,
        is_reset: bool = False,
        sequence: int = 0,
        acknowledged: int = 0,
        payload_bytes: int = 0,
    ) -> bytes:
        """Return a packet's bytes."""

    def encode_returned(self, packet: Packet) -> bytes:
        """Return the bytes with which a backend server returns a caller's packet."""

    def is_intact(self, packet: Packet) -> bool:
        """Whether a packet is unchanged since its sender encoded it."""
