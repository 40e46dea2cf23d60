"""Reads the fields of services and backend servers in a ticket."""

from __future__ import annotations

from typing import Any

import attrs

from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.rules import AddressRule
from oleanderweir.tickets.rules import BooleanRule
from oleanderweir.tickets.rules import FieldRule
from oleanderweir.tickets.rules import IntegerRule
from oleanderweir.tickets.rules import InvalidFieldError
from oleanderweir.tickets.rules import NameRule
from oleanderweir.tickets.rules import NumberRule
from oleanderweir.tickets.rules import PathListRule
from oleanderweir.tickets.ticket_problem import TicketProblem
from oleanderweir.tickets.value_codec import VALUE_TYPES


MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MIN_REQUEST_TIMEOUT_S = 0.01
MAX_REQUEST_TIMEOUT_S = 3_600.0
MIN_DRAIN_PERIOD_S = 1.0
MAX_DRAIN_PERIOD_S = 86_400.0
MAX_FEED_PATHS = 16
MAX_COPY_SHARE = 0.2

SERVICE_RULES: dict[str, FieldRule] = {
    "address": AddressRule(),
    "request_timeout_s": NumberRule(
        low=MIN_REQUEST_TIMEOUT_S, high=MAX_REQUEST_TIMEOUT_S
    ),
    "retry_ratio": NumberRule(low=0.0, high=1.0),
    "feed_paths": PathListRule(max_count=MAX_FEED_PATHS),
    "max_copy_share": NumberRule(low=0.0, high=MAX_COPY_SHARE),
}
BACKEND_SERVER_RULES: dict[str, FieldRule] = {
    "service": NameRule(),
    "availability_zone": NameRule(),
    "agent_address": AddressRule(),
    "peer_address": AddressRule(),
    "slots": IntegerRule(low=1, high=MAX_SLOTS),
    "connections": IntegerRule(low=1, high=MAX_CONNECTIONS),
    "is_draining": BooleanRule(),
    "drain_period_s": NumberRule(low=MIN_DRAIN_PERIOD_S, high=MAX_DRAIN_PERIOD_S),
}
RULES: dict[EntryKind, dict[str, FieldRule]] = {
    EntryKind.SERVICE: SERVICE_RULES,
    EntryKind.BACKEND_SERVER: BACKEND_SERVER_RULES,
}


def required_fields(kind: EntryKind) -> list[str]:
    """Return the names of the fields that have no default, except ``name``."""
    return [
        field.name
        for field in attrs.fields(VALUE_TYPES[kind])
        if field.default is attrs.NOTHING and field.name in RULES[kind]
    ]


@attrs.define(kw_only=True)
class ValueReader:
    """Reads the fields of values of one kind and collects their problems."""

    kind: EntryKind
    problems: list[TicketProblem]

    def read(self, path: str, document: dict[str, object]) -> dict[str, Any] | None:
        """Return the typed fields, or ``None`` after adding problems."""
        count_before = len(self.problems)
        self.report_unknown_fields(path, document)
        self.report_missing_fields(path, document)
        fields = {
            name: self.read_field(f"{path}.{name}", rule, document[name])
            for name, rule in RULES[self.kind].items()
            if name in document
        }
        return fields if len(self.problems) == count_before else None

    def read_field(self, path: str, rule: FieldRule, value: object) -> Any:
        """Return the typed value of a field, or ``None`` after adding a problem."""
        try:
            return rule.read(value)
        except InvalidFieldError as error:
            self.add_problem(path, error.message, rule.remedy)
            return None

    def report_unknown_fields(self, path: str, document: dict[str, object]) -> None:
        """Add a problem for each field without a rule, such as a misspelt name."""
        allowed = ", ".join(RULES[self.kind])
        for name in sorted(document.keys() - RULES[self.kind].keys()):
            self.add_problem(f"{path}.{name}", "is not a known field", f"use {allowed}")

    def report_missing_fields(self, path: str, document: dict[str, object]) -> None:
        """
        Add a problem for each required field that is missing.

        A ticket contains the complete state of a key, so required fields must be
        present even if the key exists already.
        """
        for name in required_fields(self.kind):
            if name not in document:
                remedy = RULES[self.kind][name].remedy
                self.add_problem(f"{path}.{name}", "is missing", remedy)

    def add_problem(self, path: str, message: str, remedy: str) -> None:
        """Add a problem of the field at a path."""
        self.problems.append(TicketProblem(path=path, message=message, remedy=remedy))
