"""The encoding of messages in datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
import msgpack

from oleanderweir.peering.exceptions import InvalidMessageError
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import Message
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import StateUpdate
from oleanderweir.peering.packing import pack
from oleanderweir.peering.packing import unpack
from oleanderweir.peering.position_codec import pack_position
from oleanderweir.peering.position_codec import unpack_position


if TYPE_CHECKING:
    from collections.abc import Iterator


# The first element of each datagram. A number is never reused for another type.
TYPES: dict[int, type[Message]] = {
    1: Delivery,
    2: ReturnedPacket,
    3: OwnerNotice,
    4: LoadReport,
    5: Heartbeat,
    6: StateUpdate,
    7: Departure,
}
CODES = {message_type: code for code, message_type in TYPES.items()}
FIELDS = {
    message_type: tuple(field.name for field in attrs.fields(message_type))
    for message_type in CODES
}
# Types whose last field is sent only if it has items, so that earlier states of the
# program can decode the other messages.
OPTIONAL_LAST_FIELD = frozenset({Delivery, ReturnedPacket})
# Fields that hold positions in the histories of the source.
POSITION_FIELDS = {
    Heartbeat: frozenset({"backends_revision"}),
    StateUpdate: frozenset({"base", "revision"}),
}
NO_FIELDS: frozenset[str] = frozenset()
# Delegated lookups have one in place of a version.
DELEGATED_LOOKUP_FIELDS = frozenset({"version"})


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message: its type code, then its fields in order."""
    message_type = type(message)
    purpose = getattr(message, "purpose", None)
    positions = _find_positions(message_type, purpose)
    values = [
        pack_position(value) if name in positions else value
        for name, value in _iterate_fields(message)
    ]
    if message_type in OPTIONAL_LAST_FIELD and not values[-1]:
        values.pop()
    return pack([CODES[message_type], *values])


def decode_message(datagram: bytes) -> Message:
    """Return the message of a datagram; raise ``InvalidMessageError`` if invalid."""
    try:
        code, *values = unpack(datagram)
        message_type = TYPES[code]
        names = FIELDS[message_type]
        if message_type in OPTIONAL_LAST_FIELD and len(values) == len(names) - 1:
            names = names[:-1]
        fields = dict(zip(names, values, strict=True))
        for name in _find_positions(message_type, fields.get("purpose")):
            fields[name] = unpack_position(fields[name])
        return message_type(**fields)
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise InvalidMessageError(
            "a datagram on the peer port is not a valid message; check that all "
            "processes run the same version"
        ) from error


def _iterate_fields(message: Message) -> Iterator[tuple[str, Any]]:
    """Yield the names and values of the fields of a message."""
    for name in FIELDS[type(message)]:
        yield name, getattr(message, name)


def _find_positions(message_type: type[Message], purpose: object) -> frozenset[str]:
    """Return the fields of a message that hold positions."""
    if message_type is Delivery and purpose == DeliveryPurpose.DELEGATED_LOOKUP:
        return DELEGATED_LOOKUP_FIELDS
    return POSITION_FIELDS.get(message_type, NO_FIELDS)
