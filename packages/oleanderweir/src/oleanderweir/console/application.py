"""The command line of one binary."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from oleanderweir.console.error_reporting_group import ErrorReportingGroup


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.console.command import Command


class Application:
    """Adds the commands of a binary to one click group."""

    def __init__(
        self, *, name: str, description: str, commands: Sequence[Command]
    ) -> None:
        self.name = name
        self.commands = commands
        self.group = ErrorReportingGroup(
            name=name, help=description, no_args_is_help=False
        )
        version_option = click.version_option(package_name="oleanderweir")
        version_option(self.group)
        for command in commands:
            self._get_or_create_group(command).add_command(command.to_click())

    def run(self) -> None:
        """Run the command given in ``sys.argv``, then exit the interpreter."""
        self.group.main(prog_name=self.name)

    def _get_or_create_group(self, command: Command) -> click.Group:
        """Return the group that contains a command; create it if necessary."""
        group_name = command.name.rpartition(" ")[0]
        if not group_name:
            return self.group
        group = self.group.commands.get(group_name)
        if not isinstance(group, click.Group):
            group = click.Group(
                name=group_name,
                help=f"Commands that operate on a {group_name}.",
                no_args_is_help=False,
            )
            self.group.add_command(group)
        return group
