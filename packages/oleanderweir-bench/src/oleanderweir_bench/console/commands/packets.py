"""Run the packet path in virtual time."""

from __future__ import annotations

import click

from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.packet_path import SCENARIOS
from oleanderweir_bench.packet_path import run_scenario


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed.")
@click.option(
    "--mod",
    is_flag=True,
    help="Routers move nearly all flows when the balancers change.",
)
def packets(seed: int, mod: bool) -> None:
    """Run every scenario of the packet path in virtual time and print a table."""
    table = ResultTable(
        title=f"Packet path, seed {seed}",
        headings=("scenario", "asked", "in time", "late", "failed", "broken promises"),
    )
    for name in SCENARIOS:
        result = run_scenario(name, seed=seed, uses_rendezvous_hash=not mod)
        counts = (result.total, result.in_time, result.late, result.failed)
        table.add(name, *(str(count) for count in counts), str(result.violations))
    click.echo(table.render())
