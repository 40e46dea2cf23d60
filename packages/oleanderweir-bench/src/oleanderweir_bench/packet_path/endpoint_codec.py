"""Encoding of packets at the endpoints of a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_bench.packet_path.packet_header import PacketHeader


class EndpointCodec(Protocol):
    """Encodes and decodes the packets of callers and backend servers."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        """Decode a caller's packet; return ``None`` if it is invalid."""

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        """Decode a backend server's packet; return ``None`` if it is invalid."""

    def encode(
        self, key: FlowKey, header: PacketHeader, *, is_from_caller: bool
    ) -> bytes:
        """Return a packet's bytes."""

    def encode_returned(self, packet: Packet) -> bytes:
        """Return the bytes with which a backend server returns a caller's packet."""

    def is_intact(self, packet: Packet) -> bool:
        """Whether a packet is unchanged since its sender encoded it."""
