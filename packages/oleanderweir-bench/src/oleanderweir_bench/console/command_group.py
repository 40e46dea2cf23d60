"""A click group that imports a command's module when the command is used."""

from __future__ import annotations

import importlib
import pkgutil

import click


class CommandGroup(click.Group):
    """
    A group with one module for each command.

    ``package`` names the package with the modules. A module is imported only when its
    command is run or its help is shown.
    """

    package: str = "oleanderweir_bench.console.commands"

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the command names in alphabetical order."""
        del ctx
        paths = importlib.import_module(self.package).__path__
        return sorted(
            module.name.replace("_", "-") for module in pkgutil.iter_modules(paths)
        )

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of a name; None for an unknown name."""
        if cmd_name not in self.list_commands(ctx):
            return None
        name = cmd_name.replace("-", "_")
        module = importlib.import_module(f"{self.package}.{name}")
        command = getattr(module, name, None) or getattr(module, "command", None)
        return command if isinstance(command, click.Command) else None
