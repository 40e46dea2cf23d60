"""Commands that both binaries provide."""

from __future__ import annotations

from oleanderweir.console.commands.check import CheckCommand
from oleanderweir.console.commands.process_commands import create_process_commands
from oleanderweir.console.commands.run import RunCommand
from oleanderweir.console.commands.status import StatusCommand
from oleanderweir.console.commands.ticket_check import TicketCheckCommand


__all__ = [
    "CheckCommand",
    "RunCommand",
    "StatusCommand",
    "TicketCheckCommand",
    "create_process_commands",
]
