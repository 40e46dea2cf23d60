"""The command that checks a ticket."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import click

from oleanderweir.console.command import Command
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.reporting import write_problem
from oleanderweir.tickets import InvalidTicketError
from oleanderweir.tickets import TicketChecker


if TYPE_CHECKING:
    from collections.abc import Sequence


class TicketCheckCommand(Command):
    """Checks a ticket file with the checks that every process applies."""

    name: ClassVar[str] = "ticket check"
    description: ClassVar[str] = (
        "Check a ticket file exactly as every process does before accepting it."
    )

    @property
    def parameters(self) -> Sequence[click.Parameter]:
        """The ticket file."""
        return [click.Argument(["file"], type=click.Path(path_type=Path))]

    def handle(self, **values: Any) -> ExitCode:
        """Print one line per problem of the ticket, or that it is valid."""
        file: Path = values["file"]
        try:
            ticket = TicketChecker().check_ticket_file(file)
        except InvalidTicketError as error:
            for problem in error.problems:
                write_problem(f"[{error.code}] {file}: {problem}")
            return ExitCode.TICKET_REFUSED
        click.echo(f"{file}: ticket {ticket.number} is valid")
        return ExitCode.OK
