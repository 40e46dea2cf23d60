"""JSON encoding of the messages of the platform's services."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import attrs
import cattrs

from oleanderweir.configuration_service.exceptions import InvalidServiceResponseError
from oleanderweir.configuration_service.messages.instance_list_part import (
    InstanceListPart,
)
from oleanderweir.configuration_service.messages.published_entry import PublishedEntry
from oleanderweir.configuration_service.messages.published_ticket import PublishedTicket
from oleanderweir.configuration_service.messages.snapshot_part import SnapshotPart
from oleanderweir.configuration_service.messages.ticket_page import TicketPage
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.membership.instance_record import InstanceRecord
from oleanderweir.membership.instance_role import InstanceRole
from oleanderweir.membership.instance_state import InstanceState
from oleanderweir.net import SocketAddress


if TYPE_CHECKING:
    import enum


MAX_VALUE_BYTES = 1_000_000

FIELD_TYPES = {
    "InstanceRecord": InstanceRecord,
    "InstanceRole": InstanceRole,
    "InstanceState": InstanceState,
    "PublishedEntry": PublishedEntry,
    "PublishedTicket": PublishedTicket,
    "SocketAddress": SocketAddress,
}
MESSAGE_TYPES: tuple[type, ...] = (
    InstanceRecord,
    InstanceListPart,
    SnapshotPart,
    TicketPage,
)

MessageT = TypeVar("MessageT")


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects values of the wrong JSON type."""
    for message_type in MESSAGE_TYPES:
        # The annotations are strings with types that are not imported at run time.
        attrs.resolve_types(message_type, localns=FIELD_TYPES)
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_unstructure_hook(SocketAddress, str)
    converter.register_structure_hook(SocketAddress, structure_address)
    converter.register_structure_hook(int, structure_exactly)
    converter.register_structure_hook(str, structure_exactly)
    # These are subclasses of str, to which the hook for str would apply.
    converter.register_structure_hook(InstanceRole, structure_member)
    converter.register_structure_hook(InstanceState, structure_member)
    return converter


def structure_address(value: object, _: type) -> SocketAddress:
    """Parse ``HOST:PORT``."""
    return SocketAddress.parse(str(value))


def structure_exactly(value: object, expected: type) -> Any:
    """Return a value unchanged; raise ``TypeError`` if it has another type."""
    if type(value) is not expected:
        raise TypeError(f"{value!r} is not of type {expected.__name__}")
    return value


def structure_member(value: object, enumeration: type[enum.StrEnum]) -> enum.StrEnum:
    """Return the member of an enumeration with that value."""
    return enumeration(str(value))


CONVERTER = make_converter()


def encode_message(message: object) -> bytes:
    """Return a message as compact JSON."""
    document = CONVERTER.unstructure(message)
    text = json.dumps(document, ensure_ascii=False, separators=(",", ":"))
    return text.encode("utf-8", "surrogatepass")


def decode_message(data: bytes, message_type: type[MessageT]) -> MessageT:
    """
    Decode a message; unknown fields are ignored.

    Raise ``InvalidServiceResponseError`` when the bytes are not such a message.
    """
    try:
        return CONVERTER.structure(json.loads(data), message_type)
    except (
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        RecursionError,
        OleanderweirError,
    ) as error:
        raise InvalidServiceResponseError(
            f"the response is not a valid {message_type.__name__} ({error}); "
            "check the URL and the release of the service"
        ) from error
