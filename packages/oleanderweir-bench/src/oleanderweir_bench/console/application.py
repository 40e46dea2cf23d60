"""The application that wires the bench's verbs."""

from __future__ import annotations

import click

from oleanderweir_bench.console.command_group import CommandGroup


@click.group(cls=CommandGroup)
def application() -> None:
    """Stand-ins, load and experiments for oleanderweir."""
