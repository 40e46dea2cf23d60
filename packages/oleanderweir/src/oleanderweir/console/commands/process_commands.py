"""Creates the commands that both binaries provide."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from oleanderweir.console.commands.check import CheckCommand
from oleanderweir.console.commands.explain import ExplainCommand
from oleanderweir.console.commands.run import RunCommand
from oleanderweir.console.commands.status import StatusCommand
from oleanderweir.console.commands.ticket_check import TicketCheckCommand
from oleanderweir.settings import ProcessSettings


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    import click

    from oleanderweir.console.command import Command
    from oleanderweir.console.managed_process import ProcessFactory


SettingsT = TypeVar("SettingsT", bound=ProcessSettings)


def create_process_commands(
    *,
    role: str,
    options: Sequence[click.Option],
    create_settings: Callable[..., SettingsT],
    create_process: ProcessFactory[SettingsT],
) -> list[Command]:
    """Return the commands that a balancer and an agent both have."""
    return [
        RunCommand(
            role=role,
            options=options,
            create_settings=create_settings,
            create_process=create_process,
        ),
        CheckCommand(options=options, create_settings=create_settings),
        StatusCommand(),
        TicketCheckCommand(),
        ExplainCommand(),
    ]
