"""The encoding of messages in datagrams."""

from __future__ import annotations

from typing import Any

import attrs
import msgpack

from oleanderweir.peering.exceptions import InvalidMessageError
from oleanderweir.peering.message_layout import MessageLayout
from oleanderweir.peering.messages import Confirmation
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


# The first element of each datagram. A number is never reused for another type.
TYPES: dict[int, type[Message]] = {
    1: Delivery,
    2: ReturnedPacket,
    3: OwnerNotice,
    4: LoadReport,
    5: Heartbeat,
    6: StateUpdate,
    7: Departure,
    8: Confirmation,
}
CODES = {message_type: code for code, message_type in TYPES.items()}
LAYOUTS = {
    code: MessageLayout.of(
        message_type,
        # The last fields are sent only if they aren't empty or 0, so that earlier
        # releases can decode the other messages.
        optional_fields={
            Confirmation: 1,
            Delivery: 1,
            Heartbeat: 1,
            ReturnedPacket: 2,
        }.get(message_type, 0),
        positions={
            Confirmation: ("backends_revision", "evacuations_revision"),
            Heartbeat: ("backends_revision", "evacuations_revision"),
            StateUpdate: ("base", "revision"),
        }.get(message_type, ()),
    )
    for code, message_type in TYPES.items()
}
DELIVERY_LAYOUT = LAYOUTS[CODES[Delivery]]
# A delegated lookup has a position in place of a version.
DELEGATED_LOOKUP_LAYOUT = attrs.evolve(
    DELIVERY_LAYOUT, positions=(DELIVERY_LAYOUT.names.index("version"),)
)
PURPOSE_INDEX = DELIVERY_LAYOUT.names.index("purpose")
# Errors that a datagram raises which is no message.
DECODING_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message: its type code, then its fields in order."""
    code = CODES[type(message)]
    layout = LAYOUTS[code]
    values = [getattr(message, name) for name in layout.names]
    for index in _select_layout(layout, values).positions:
        values[index] = pack_position(values[index])
    while len(values) > layout.required_fields and not values[-1]:
        values.pop()
    return pack([code, *values])


def decode_message(datagram: bytes) -> Message:
    """Return the message of a datagram; raise ``InvalidMessageError`` if invalid."""
    try:
        code, *values = unpack(datagram)
        layout = LAYOUTS[code]
        for index in _select_layout(layout, values).positions:
            if not layout.is_omitted(index, values):
                values[index] = unpack_position(values[index])
        return layout.make_message(values)
    except DECODING_ERRORS as error:
        raise InvalidMessageError(
            "a datagram on the peer port is not a valid message; check that all "
            "processes run the same version"
        ) from error


def _select_layout(layout: MessageLayout, values: list[Any]) -> MessageLayout:
    """Return the layout of a message by its type and, for deliveries, its purpose."""
    if layout is not DELIVERY_LAYOUT:
        return layout
    if values[PURPOSE_INDEX] == DeliveryPurpose.DELEGATED_LOOKUP:
        return DELEGATED_LOOKUP_LAYOUT
    return layout
