"""
Entries as bytes, for the exchange between processes.

The form is a msgpack array of arrays ``[kind, name, ticket, document]`` with ``nil``
for the document of a tombstone. Further elements and unknown fields are allowed.
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
    """Return the entries as bytes that ``decode_entries`` reads."""
    rows = [
        (entry.key.kind.value, entry.key.name, entry.ticket, entry.document)
        for entry in entries
    ]
    encoded: bytes = msgpack.packb(rows)
    return encoded


def decode_entries(data: bytes) -> tuple[Entry, ...]:
    """
    Read what ``encode_entries`` wrote.

    Entries of a kind that this release does not know are counted and left out. Raise
    ``InvalidEntryError`` when the bytes are anything else; then none may be merged.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidEntryError(
            f"{len(data)} bytes of entries exceed {MAX_MESSAGE_BYTES}; send fewer"
        )
    try:
        rows = msgpack.unpackb(data)
        if not isinstance(rows, list):
            raise TypeError("the outermost element is no array")
        decoded = [decode_row(row) for row in rows]
    except InvalidEntryError:
        raise
    except DECODE_ERRORS as error:
        raise InvalidEntryError(
            f"the bytes hold no entries ({error}); check the release of the sender"
        ) from error
    return tuple(entry for entry in decoded if entry is not None)


def decode_row(row: list[Any]) -> Entry | None:
    """Read one entry; return ``None`` for a kind that this release does not know."""
    kind, name, ticket, document = row[:4]
    if not isinstance(name, str):
        raise InvalidEntryError(f"an entry has the name {name!r}; write a text")
    if kind not in KINDS:
        ENTRIES_DROPPED.labels(reason="unknown_kind").inc()
        return None
    entry = entry_from_document(
        key=EntryKey(kind=EntryKind(kind), name=name), ticket=ticket, document=document
    )
    # Content that cannot be hashed is refused here, and not in the midst of a merge.
    _ = entry.digest
    return entry


def entry_from_document(*, key: EntryKey, ticket: object, document: object) -> Entry:
    """
    Return the entry that a plain document describes.

    Raise ``InvalidEntryError`` for a number or document of the wrong type, and what
    ``structure_value`` raises for fields of the wrong type.
    """
    number = check_ticket_number(key, ticket)
    if document is None:
        return Entry(key=key, ticket=number, value=None)
    if not isinstance(document, dict):
        raise InvalidEntryError(f"{key} has no document; write its fields or nothing")
    value = structure_value(key.kind, document)
    if value.name != key.name:
        raise InvalidEntryError(f"{key} holds the name '{value.name}'; write one name")
    return Entry(
        key=key,
        ticket=number,
        value=value,
        unknown_fields=pack_unknown_fields(key.kind, document),
    )


def check_ticket_number(key: EntryKey, ticket: object) -> int:
    """Return the number of a ticket; raise ``InvalidEntryError`` if it is none."""
    if type(ticket) is not int or not 1 <= ticket <= MAX_TICKET_NUMBER:
        raise InvalidEntryError(f"{key} has ticket {ticket!r}; write a whole number")
    return ticket


def pack_unknown_fields(kind: EntryKind, document: dict[str, Any]) -> bytes:
    """
    Return the fields that this release does not know, as msgpack.

    Raise ``InvalidEntryError`` for numbers that msgpack cannot hold.
    """
    names = sorted(document.keys() - FIELD_NAMES[kind])
    if not names:
        return b""
    try:
        packed: bytes = msgpack.packb({name: document[name] for name in names})
    except (ValueError, OverflowError) as error:
        raise InvalidEntryError(
            f"the fields {', '.join(names)} cannot be kept ({error}); "
            "write numbers of at most 64 bits"
        ) from error
    return packed
