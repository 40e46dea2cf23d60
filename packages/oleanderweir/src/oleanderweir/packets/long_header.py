"""The part of a QUIC long header that does not depend on the version (RFC 8999)."""

from __future__ import annotations

import attrs

from oleanderweir.packets.exceptions import InvalidPacketError


LONG_HEADER_BIT = 0x80
PACKET_TYPE_MASK = 0x30
INITIAL_TYPE_VERSION_1 = 0x00
VERSION_1 = 1
VERSION_END = 5
MAX_CONNECTION_ID_BYTES = 20


def has_long_header(datagram: bytes) -> bool:
    """Whether a datagram starts with a long header."""
    return bool(datagram) and bool(datagram[0] & LONG_HEADER_BIT)


@attrs.frozen(kw_only=True)
class LongHeader:
    """The version, the connection IDs and the type of a packet with a long header."""

    version: int
    destination_connection_id: bytes
    source_connection_id: bytes
    is_initial: bool

    @classmethod
    def parse(cls, datagram: bytes) -> LongHeader:
        """Parse the header; raise ``InvalidPacketError`` when it is malformed."""
        version = int.from_bytes(datagram[1:VERSION_END], "big")
        destination, position = _read_connection_id(datagram, VERSION_END)
        source, _ = _read_connection_id(datagram, position)
        is_type_zero = datagram[0] & PACKET_TYPE_MASK == INITIAL_TYPE_VERSION_1
        return cls(
            version=version,
            destination_connection_id=destination,
            source_connection_id=source,
            is_initial=is_type_zero and version == VERSION_1,
        )


def _read_connection_id(datagram: bytes, position: int) -> tuple[bytes, int]:
    """Return the connection ID at a position, and the position after it."""
    if position >= len(datagram):
        raise InvalidPacketError("the long header ends before its connection IDs")
    length = datagram[position]
    end = position + 1 + length
    if length > MAX_CONNECTION_ID_BYTES or end > len(datagram):
        raise InvalidPacketError("a connection ID is truncated or longer than 20 bytes")
    return datagram[position + 1 : end], end
