"""A click group that loads each verb's module when the verb is used."""

from __future__ import annotations

import importlib
import pkgutil

import click


class CommandGroup(click.Group):
    """
    A group with one module for each verb.

    ``package`` names the package that holds the modules. A verb's module is imported
    only when the verb is run or described.
    """

    package: str = "oleanderweir_bench.console.commands"

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the verbs in alphabetical order."""
        del ctx
        paths = importlib.import_module(self.package).__path__
        return sorted(
            module.name.replace("_", "-") for module in pkgutil.iter_modules(paths)
        )

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of a verb; None for an unknown verb."""
        if cmd_name not in self.list_commands(ctx):
            return None
        name = cmd_name.replace("-", "_")
        module = importlib.import_module(f"{self.package}.{name}")
        command = getattr(module, name, None) or getattr(module, "command", None)
        return command if isinstance(command, click.Command) else None
