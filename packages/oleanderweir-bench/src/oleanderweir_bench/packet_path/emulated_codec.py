"""A packet format for emulation: MessagePack lists of fields."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgpack

from oleanderweir.flows import FlowKey
from oleanderweir.flows import Packet


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.packet_header import PacketHeader


FIELDS = (
    "is_opening",
    "is_acknowledging",
    "is_final",
    "is_reset",
    "is_returned",
    "sequence",
    "acknowledged",
    "payload_bytes",
)


MAX_PAYLOAD_BYTES = 1200


class EmulatedPacketCodec:
    """A ``PacketCodec`` with one format for both directions."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        """
        Decode a packet from the MessagePack list of its key and ``FIELDS``.

        Return ``None`` if the data isn't valid MessagePack, is empty or has no fields
        to unpack. Raise ``ValueError`` if a non-empty list has the wrong length.
        """
        try:
            key, *values = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException):
            return None
        fields = dict(zip(FIELDS, values, strict=True))
        is_full = fields["payload_bytes"] >= MAX_PAYLOAD_BYTES
        return Packet(data=data, key=FlowKey(key), is_full=is_full, **fields)

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        """Decode a packet in the same way as ``decode_from_caller``."""
        return self.decode_from_caller(data)

    def restore(self, packet: Packet) -> bytes:
        """Return the bytes of a returned packet as the caller sent them."""
        return _encode_again(packet, is_returned=False)

    def make_reset(self, key: FlowKey, *, sequence: int) -> bytes:
        """Return a reset packet of a flow."""
        return encode_packet(key, is_reset=True, sequence=sequence)

    def encode(
        self, key: FlowKey, header: PacketHeader, *, is_from_caller: bool
    ) -> bytes:
        """Return the bytes of a packet of either endpoint."""
        del is_from_caller
        return encode_packet(key, **attrs.asdict(header))

    def encode_returned(self, packet: Packet) -> bytes:
        """Return the bytes with which a backend server returns a caller's packet."""
        return _encode_again(packet, is_returned=True)

    def is_intact(self, packet: Packet) -> bool:
        """Return true: this format has no checksum."""
        del packet
        return True


def encode_packet(
    key: FlowKey,
    *,
    is_opening: bool = False,
    is_acknowledging: bool = False,
    is_final: bool = False,
    is_reset: bool = False,
    is_returned: bool = False,
    sequence: int = 0,
    acknowledged: int = 0,
    payload_bytes: int = 0,
) -> bytes:
    """Return a packet's bytes."""
    values = (
        is_opening,
        is_acknowledging,
        is_final,
        is_reset,
        is_returned,
        sequence,
        acknowledged,
        payload_bytes,
    )
    data: bytes = msgpack.packb([key, *values])
    return data


def _encode_again(packet: Packet, *, is_returned: bool) -> bytes:
    """Return the bytes of a caller's packet, marked as returned or not."""
    return encode_packet(
        packet.key,
        is_opening=packet.is_opening,
        is_acknowledging=packet.is_acknowledging,
        is_final=packet.is_final,
        is_returned=is_returned,
        sequence=packet.sequence,
        acknowledged=packet.acknowledged,
        payload_bytes=packet.payload_bytes,
    )
