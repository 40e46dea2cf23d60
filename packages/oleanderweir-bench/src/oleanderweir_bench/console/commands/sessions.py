"""Measure the cost of open sessions."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click

from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.deployment import Deployment
from oleanderweir_bench.processes import ProcessSupervisor
from oleanderweir_bench.sessions import SessionCost
from oleanderweir_bench.sessions import SessionCostExperiment


MEBIBYTE = 1024 * 1024
DEFAULT_STEPS = (0, 500, 1000, 2000)


@click.command("sessions")
@click.option(
    "--step",
    "steps",
    multiple=True,
    default=DEFAULT_STEPS,
    show_default=True,
    type=click.IntRange(0),
    help="Number of sessions to measure at; repeat it in rising order.",
)
def sessions(steps: tuple[int, ...]) -> None:
    """Print memory and processor time of the processes by number of sessions."""
    costs = run_command(run_experiment, steps)
    click.echo("| sessions | balancer MiB | agent MiB | balancer CPU | agent CPU |")
    click.echo("| ---: | ---: | ---: | ---: | ---: |")
    for cost in costs:
        click.echo(
            f"| {cost.sessions} "
            f"| {cost.balancer_memory_bytes / MEBIBYTE:.1f} "
            f"| {cost.agent_memory_bytes / MEBIBYTE:.1f} "
            f"| {cost.balancer_cpu_share:.1%} | {cost.agent_cpu_share:.1%} |"
        )


async def run_experiment(steps: tuple[int, ...]) -> list[SessionCost]:
    """Run the experiment in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="oleanderweir-") as folder:
        async with ProcessSupervisor() as supervisor:
            deployment = Deployment(supervisor=supervisor, folder=Path(folder))
            experiment = SessionCostExperiment(
                deployment=deployment, steps=steps, report_progress=click.echo
            )
            return await experiment.run()
