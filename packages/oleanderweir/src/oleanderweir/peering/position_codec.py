"""
The form of positions in messages.

Earlier releases kept 40 bits for the revision. A position whose revision fits has the
integer that they exchange; any other has an extension type, so that they reject the
message and stay with what they know.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgpack

from oleanderweir.desired_state import history_of
from oleanderweir.desired_state import make_position
from oleanderweir.desired_state import revision_of


# Type of the MessagePack extension for a position with a longer revision.
WIDE_POSITION_TYPE = 2
NARROW_REVISION_BITS = 40
NARROW_REVISION_MASK = (1 << NARROW_REVISION_BITS) - 1
WIDE_REVISION_BYTES = 8


@attrs.frozen(kw_only=True)
class WidePosition:
    """A position that was unpacked from its extension type."""

    position: int


def pack_position(position: int) -> int | msgpack.ExtType:
    """Return the form of a position in a message."""
    history, revision = history_of(position), revision_of(position)
    if revision <= NARROW_REVISION_MASK:
        return history << NARROW_REVISION_BITS | revision
    size_bytes = WIDE_REVISION_BYTES + history.bit_length() // 8 + 1
    return msgpack.ExtType(WIDE_POSITION_TYPE, position.to_bytes(size_bytes, "big"))


def unpack_wide_position(data: bytes) -> WidePosition:
    """Return the position of an extension's data."""
    return WidePosition(position=int.from_bytes(data, "big"))


def unpack_position(value: Any) -> int:
    """Return a position from its form in a message; raise ``ValueError`` if invalid."""
    if isinstance(value, WidePosition):
        return value.position
    if not isinstance(value, int) or value < 0:
        raise ValueError(f"got {value!r}, expected a position")
    return make_position(
        history=value >> NARROW_REVISION_BITS, revision=value & NARROW_REVISION_MASK
    )
