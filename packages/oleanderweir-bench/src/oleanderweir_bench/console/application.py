"""The click application with the commands of the bench."""

from __future__ import annotations

import click

from oleanderweir_bench.console.command_group import CommandGroup


@click.group(cls=CommandGroup)
def application() -> None:
    """Stand-ins, load and experiments for oleanderweir."""
