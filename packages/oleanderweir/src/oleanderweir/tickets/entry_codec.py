"""
The binary encoding of entries that processes exchange.

Entries are a msgpack array of arrays ``[kind, name, ticket, document]``. The document
of a tombstone is ``nil``. Additional elements and unknown fields are allowed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgpack

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.tickets.entry import Entry
from oleanderweir.tickets.entry_key import EntryKey
from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.exceptions import InvalidEntryError
from oleanderweir.tickets.metrics import ENTRIES_DROPPED
from oleanderweir.tickets.value_codec import FIELD_NAMES
from oleanderweir.tickets.value_codec import structure_value


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_TICKET_NUMBER = 2**53 - 1
MAX_MESSAGE_BYTES = 16 * 2**20
KINDS = frozenset(kind.value for kind in EntryKind)
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    RecursionError,
    msgpack.UnpackException,
    OleanderweirError,
)


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Encode entries for ``decode_entries``."""
    rows = [
        (entry.key.kind.value, entry.key.name, entry.ticket, entry.document)
        for entry in entries
    ]
    encoded: bytes = msgpack.packb(rows)
    return encoded


def decode_entries(data: bytes) -> tuple[Entry, ...]:
    """
    Decode the output of ``encode_entries``.

    Entries of a kind that this release does not know are counted and skipped. Raise
    ``InvalidEntryError`` if the data is too long or invalid; then none of its entries
    may be merged.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidEntryError(
            f"{len(data)} bytes of entries exceed the limit of {MAX_MESSAGE_BYTES}; "
            "send fewer entries in one message"
        )
    try:
        rows = msgpack.unpackb(data)
        if not isinstance(rows, list):
            raise TypeError("the outermost element is not an array")
        decoded = [decode_row(row) for row in rows]
    except InvalidEntryError:
        raise
    except DECODE_ERRORS as error:
        raise InvalidEntryError(
            f"the bytes cannot be decoded as entries ({error}); "
            "check the release of the sender"
        ) from error
    return tuple(entry for entry in decoded if entry is not None)


def decode_row(row: list[Any]) -> Entry | None:
    """Decode one entry; return ``None`` for a kind that this release does not know."""
    kind, name, ticket, document = row[:4]
    if not isinstance(name, str):
        raise InvalidEntryError(f"an entry has the name {name!r}; send a string")
    if kind not in KINDS:
        ENTRIES_DROPPED.labels(reason="unknown_kind").inc()
        return None
    entry = entry_from_document(
        key=EntryKey(kind=EntryKind(kind), name=name), ticket=ticket, document=document
    )
    # Reject content that cannot be hashed now rather than in the middle of a merge.
    _ = entry.digest
    return entry


def entry_from_document(*, key: EntryKey, ticket: object, document: object) -> Entry:
    """
    Return the entry that a plain document describes.

    Raise ``InvalidEntryError`` for an invalid ticket number, a document of the wrong
    type or a name other than that of the key. Raise the errors of ``structure_value``
    for invalid fields.
    """
    number = check_ticket_number(key, ticket)
    if document is None:
        return Entry(key=key, ticket=number, value=None)
    if not isinstance(document, dict):
        raise InvalidEntryError(
            f"the document of {key} is not a map; send its fields, or nil to remove it"
        )
    value = structure_value(key.kind, document)
    if value.name != key.name:
        raise InvalidEntryError(
            f"the document of {key} has the name '{value.name}'; "
            "send the name of the key"
        )
    return Entry(
        key=key,
        ticket=number,
        value=value,
        unknown_fields=pack_unknown_fields(key.kind, document),
    )


def check_ticket_number(key: EntryKey, ticket: object) -> int:
    """Return a ticket number; raise ``InvalidEntryError`` if it is invalid."""
    if type(ticket) is not int or not 1 <= ticket <= MAX_TICKET_NUMBER:
        raise InvalidEntryError(
            f"{key} has the ticket number {ticket!r}; use an integer from 1 to 2^53 - 1"
        )
    return ticket


def pack_unknown_fields(kind: EntryKind, document: dict[str, Any]) -> bytes:
    """
    Return the fields that this release does not know, as msgpack.

    Raise ``InvalidEntryError`` for numbers that msgpack cannot encode.
    """
    names = sorted(document.keys() - FIELD_NAMES[kind])
    if not names:
        return b""
    try:
        packed: bytes = msgpack.packb({name: document[name] for name in names})
    except (ValueError, OverflowError) as error:
        raise InvalidEntryError(
            f"the fields {', '.join(names)} cannot be encoded ({error}); "
            "use numbers of at most 64 bits"
        ) from error
    return packed
