"""Reads entries as the platform publishes them in a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from oleanderweir.tickets.entry import Entry
from oleanderweir.tickets.entry_codec import check_ticket_number
from oleanderweir.tickets.entry_codec import pack_unknown_fields
from oleanderweir.tickets.exceptions import InvalidEntryError
from oleanderweir.tickets.rules import NameRule
from oleanderweir.tickets.value_codec import VALUE_TYPES
from oleanderweir.tickets.value_reader import RULES
from oleanderweir.tickets.value_reader import ValueReader


if TYPE_CHECKING:
    from oleanderweir.tickets.entry_key import EntryKey
    from oleanderweir.tickets.ticket_problem import TicketProblem


NAME_RULE = NameRule()


def read_published_entry(
    *, key: EntryKey, ticket: int, document: dict[str, Any] | None
) -> Entry:
    """
    Return an entry of a snapshot, checked by the same rules as an entry of a ticket.

    Fields that this release does not know are preserved without a check. Raise
    ``InvalidEntryError`` or ``InvalidFieldError`` if the entry is invalid.
    """
    NAME_RULE.read(key.name)
    check_ticket_number(key, ticket)
    if document is None:
        return Entry(key=key, ticket=ticket, value=None)
    rules = RULES[key.kind]
    known_fields = {name: value for name, value in document.items() if name in rules}
    problems: list[TicketProblem] = []
    fields = ValueReader(kind=key.kind, problems=problems).read(str(key), known_fields)
    if fields is None:
        raise InvalidEntryError("; ".join(str(problem) for problem in problems))
    return Entry(
        key=key,
        ticket=ticket,
        value=VALUE_TYPES[key.kind](name=key.name, **fields),
        unknown_fields=pack_unknown_fields(key.kind, document),
    )
