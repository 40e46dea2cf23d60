"""Parses and checks the text of a ticket as a whole."""

from __future__ import annotations

from typing import Any

import attrs

from oleanderweir.tickets.entry import Entry
from oleanderweir.tickets.entry_codec import MAX_TICKET_NUMBER
from oleanderweir.tickets.entry_key import EntryKey
from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.exceptions import InvalidTicketError
from oleanderweir.tickets.rules import IntegerRule
from oleanderweir.tickets.rules import InvalidFieldError
from oleanderweir.tickets.rules import NameRule
from oleanderweir.tickets.rules import TextRule
from oleanderweir.tickets.ticket import Ticket
from oleanderweir.tickets.ticket_consistency import find_inconsistencies
from oleanderweir.tickets.ticket_document_loader import TicketDocumentLoader
from oleanderweir.tickets.ticket_problem import TicketProblem
from oleanderweir.tickets.value_codec import VALUE_TYPES
from oleanderweir.tickets.value_reader import ValueReader


FIELDS = ("ticket", "comment", *(kind.section for kind in EntryKind))
MAX_COMMENT_LENGTH = 2_000
NUMBER_RULE = IntegerRule(low=1, high=MAX_TICKET_NUMBER)
COMMENT_RULE = TextRule(max_length=MAX_COMMENT_LENGTH)
NAME_RULE = NameRule()


def parse_ticket(text: str) -> Ticket:
    """
    Parse the JSON text of a ticket.

    Raise ``InvalidTicketError`` with every problem found; then no entry of the ticket
    may come into force. The result depends on the text alone.
    """
    return TicketParser().parse(TicketDocumentLoader().load(text))


@attrs.define(kw_only=True)
class TicketParser:
    """Parses the document of a ticket and collects its problems."""

    problems: list[TicketProblem] = attrs.field(factory=list)

    def parse(self, document: dict[str, Any]) -> Ticket:
        """Return the ticket; raise ``InvalidTicketError`` if it has problems."""
        self.report_unknown_fields(document)
        number = self.read_number(document)
        comment = self.read_comment(document)
        entries = [
            entry
            for kind in EntryKind
            for entry in self.read_section(kind, document, number)
        ]
        if not entries and not self.problems:
            self.add_problem("", "has no entries", "add a service or a backend server")
        self.problems += find_inconsistencies(entries)
        if self.problems:
            raise InvalidTicketError(self.problems)
        return Ticket(number=number, entries=tuple(entries), comment=comment)

    def report_unknown_fields(self, document: dict[str, Any]) -> None:
        """Add a problem for each field that a ticket does not have."""
        for name in sorted(document.keys() - set(FIELDS)):
            self.add_problem(name, "is not a known field", f"use {', '.join(FIELDS)}")

    def read_number(self, document: dict[str, Any]) -> int:
        """Return the number of the ticket, or 0 after adding a problem."""
        try:
            return NUMBER_RULE.read(document.get("ticket"))
        except InvalidFieldError as error:
            self.add_problem("ticket", error.message, NUMBER_RULE.remedy)
            return 0

    def read_comment(self, document: dict[str, Any]) -> str:
        """Return the comment, or an empty string after adding a problem."""
        try:
            return COMMENT_RULE.read(document.get("comment", ""))
        except InvalidFieldError as error:
            self.add_problem("comment", error.message, COMMENT_RULE.remedy)
            return ""

    def read_section(
        self, kind: EntryKind, document: dict[str, Any], number: int
    ) -> list[Entry]:
        """Return the entries of one section without those that have problems."""
        values = document.get(kind.section, {})
        if not isinstance(values, dict):
            self.add_problem(
                kind.section, "is not a JSON object", 'write {"NAME": {...}}'
            )
            return []
        entries = [
            self.read_entry(f"{kind.section}.{name}", kind, name, value, number)
            for name, value in values.items()
        ]
        return [entry for entry in entries if entry is not None]

    def read_entry(
        self, path: str, kind: EntryKind, name: str, value: object, number: int
    ) -> Entry | None:
        """Return one entry, or ``None`` after adding problems."""
        try:
            NAME_RULE.read(name)
        except InvalidFieldError as error:
            self.add_problem(path, error.message, NAME_RULE.remedy)
            return None
        key = EntryKey(kind=kind, name=name)
        if value is None:
            return Entry(key=key, ticket=number, value=None)
        if not isinstance(value, dict):
            self.add_problem(
                path, "is not a JSON object", "write its fields, or null to remove it"
            )
            return None
        fields = ValueReader(kind=kind, problems=self.problems).read(path, value)
        if fields is None:
            return None
        return Entry(
            key=key, ticket=number, value=VALUE_TYPES[kind](name=name, **fields)
        )

    def add_problem(self, path: str, message: str, remedy: str) -> None:
        """Add a problem of the field at a path."""
        self.problems.append(TicketProblem(path=path, message=message, remedy=remedy))
