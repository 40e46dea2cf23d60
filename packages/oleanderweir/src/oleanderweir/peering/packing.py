"""MessagePack with integers of any size, and positions."""

from __future__ import annotations

from typing import Any

import msgpack

from oleanderweir.peering.position_codec import WIDE_POSITION_TYPE
from oleanderweir.peering.position_codec import unpack_wide_position


# Type of the MessagePack extension for integers that don't fit into 64 bits.
BIG_INTEGER_TYPE = 1


def pack(value: Any) -> bytes:
    """Return the packed form of a value."""
    packed: bytes = msgpack.packb(value, default=_pack_big_integer)
    return packed


def unpack(data: bytes) -> Any:
    """Return a packed value; raise ``ValueError`` or a msgpack error if invalid."""
    return msgpack.unpackb(data, ext_hook=_unpack_extension)


def _pack_big_integer(value: Any) -> msgpack.ExtType:
    if not isinstance(value, int):
        raise TypeError(f"got {value!r}, expected a type that MessagePack has")
    size_bytes = value.bit_length() // 8 + 1
    data = value.to_bytes(size_bytes, "big", signed=True)
    return msgpack.ExtType(BIG_INTEGER_TYPE, data)


def _unpack_extension(code: int, data: bytes) -> Any:
    if code == WIDE_POSITION_TYPE:
        return unpack_wide_position(data)
    if code != BIG_INTEGER_TYPE:
        raise ValueError(f"got the unknown MessagePack extension {code}")
    return int.from_bytes(data, "big", signed=True)
