"""Run an experiment in virtual time."""

from __future__ import annotations

import click

from oleanderweir_bench.experiments import EXPERIMENTS


@click.command()
@click.argument("name", type=click.Choice(sorted(EXPERIMENTS)))
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed.")
def experiment(name: str, seed: int) -> None:
    """Run an experiment in virtual time and print its tables in Markdown."""
    for table in EXPERIMENTS[name](seed):
        click.echo(table.render())
        click.echo()
