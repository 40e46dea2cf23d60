"""The command that prints the status of a running process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import cattrs
import click

from oleanderweir.console.command import Command
from oleanderweir.console.exceptions import NotReadyError
from oleanderweir.console.exit_code import ExitCode
from oleanderweir.console.options import create_admin_address_option
from oleanderweir.console.status_reader import StatusReader


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.net import SocketAddress


class StatusCommand(Command):
    """Prints the status of a running process as JSON."""

    name: ClassVar[str] = "status"
    description: ClassVar[str] = (
        "Print the status of a running process; fail unless it is ready."
    )

    @property
    def parameters(self) -> Sequence[click.Parameter]:
        """The admin address."""
        return [create_admin_address_option()]

    def handle(self, **values: Any) -> ExitCode:
        """Print the status; raise ``NotReadyError`` unless the process is ready."""
        admin_address: SocketAddress = values["admin_address"]
        status = StatusReader(address=admin_address).read()
        click.echo(json.dumps(cattrs.unstructure(status), indent=2))
        if not status.is_ready:
            names = ", ".join(reason.value for reason in status.reasons)
            raise NotReadyError(f"{admin_address} is not ready: {names}; read its log")
        return ExitCode.OK
