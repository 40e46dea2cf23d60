"""Checks ticket files for operators before they publish them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.tickets.exceptions import InvalidTicketError
from oleanderweir.tickets.exceptions import UnreadableTicketFileError
from oleanderweir.tickets.ticket_parser import parse_ticket
from oleanderweir.tickets.ticket_problem import TicketProblem


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.tickets.ticket import Ticket


@attrs.frozen(kw_only=True)
class TicketChecker:
    """Checks ticket files exactly as every process does before it merges a ticket."""

    def check_ticket_file(self, path: Path) -> Ticket:
        """
        Return the ticket in a file.

        Raise ``UnreadableTicketFileError`` if the file cannot be read, and
        ``InvalidTicketError`` with every problem if processes would reject the ticket.
        """
        try:
            data = path.read_bytes()
        except OSError as error:
            raise UnreadableTicketFileError(
                f"{path} cannot be read ({error.strerror}); name a readable file"
            ) from error
        try:
            text = data.decode("utf-8")
        except UnicodeDecodeError as error:
            problem = TicketProblem(
                path="",
                message=f"is not valid UTF-8 at byte {error.start}",
                remedy="save the file as UTF-8",
            )
            raise InvalidTicketError([problem]) from error
        return parse_ticket(text)
