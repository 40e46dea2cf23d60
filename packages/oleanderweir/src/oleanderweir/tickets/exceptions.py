"""Errors of tickets and their entries."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.tickets.ticket_problem import TicketProblem


MAX_REPORTED_PROBLEMS = 20


class InvalidEntryError(OleanderweirError):
    """Bytes or a document do not describe a valid entry."""

    code: ClassVar[str] = "invalid_entry"


class InvalidSnapshotError(OleanderweirError):
    """A snapshot is inconsistent, so none of it may be merged."""

    code: ClassVar[str] = "invalid_snapshot"


class InvalidTicketError(OleanderweirError):
    """A ticket is rejected as a whole; ``problems`` contains every reason."""

    code: ClassVar[str] = "invalid_ticket"

    def __init__(self, problems: Sequence[TicketProblem]) -> None:
        texts = [str(problem) for problem in problems[:MAX_REPORTED_PROBLEMS]]
        if len(problems) > MAX_REPORTED_PROBLEMS:
            texts.append(f"and {len(problems) - MAX_REPORTED_PROBLEMS} more")
        super().__init__("; ".join(texts))
        self.problems = tuple(problems)


class UnreadableTicketFileError(OleanderweirError):
    """A ticket file cannot be read."""

    code: ClassVar[str] = "unreadable_ticket_file"
