"""Loads the JSON text of a ticket, before its fields are read."""

from __future__ import annotations

import json
from typing import Any
from typing import NoReturn

import attrs

from oleanderweir.tickets.exceptions import InvalidTicketError
from oleanderweir.tickets.ticket_problem import TicketProblem


MAX_TICKET_BYTES = 400_000


@attrs.define(kw_only=True)
class TicketDocumentLoader:
    """Loads JSON of limited size; rejects duplicate names and NaN."""

    duplicates: list[str] = attrs.field(factory=list)

    def load(self, text: str) -> dict[str, Any]:
        """
        Return the outermost object.

        Raise ``InvalidTicketError`` if the text is too long or not a valid JSON object.
        """
        size_bytes = len(text.encode("utf-8", "surrogatepass"))
        if size_bytes > MAX_TICKET_BYTES:
            reject(
                f"has {size_bytes} bytes",
                f"split it into tickets of at most {MAX_TICKET_BYTES} bytes",
            )
        document = self.parse(text)
        if self.duplicates:
            names = ", ".join(sorted(set(self.duplicates)))
            reject(f"has duplicate names in one object: {names}", "keep one of each")
        if not isinstance(document, dict):
            reject("is not a JSON object", 'begin with {"ticket": NUMBER')
        return document

    def parse(self, text: str) -> Any:
        """Parse JSON and collect duplicate names."""
        try:
            return json.loads(
                text,
                object_pairs_hook=self.build_object,
                parse_constant=reject_constant,
            )
        except json.JSONDecodeError as error:
            position = f"line {error.lineno} column {error.colno}"
            reject(
                f"is not valid JSON at {position} ({error.msg})",
                "correct the text there",
            )
        except (ValueError, RecursionError):
            reject(
                "is nested too deeply or contains a number with too many digits",
                "reduce the nesting or the digits of the number",
            )

    def build_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Build one object and collect its duplicate names."""
        document: dict[str, Any] = {}
        for name, value in pairs:
            if name in document:
                self.duplicates.append(name)
            document[name] = value
        return document


def reject_constant(text: str) -> NoReturn:
    """Reject ``NaN`` and ``Infinity``, which are not JSON."""
    reject(f"contains {text}", "write a finite number")


def reject(message: str, remedy: str) -> NoReturn:
    """Raise ``InvalidTicketError`` with one problem of the whole document."""
    raise InvalidTicketError([TicketProblem(path="", message=message, remedy=remedy)])
