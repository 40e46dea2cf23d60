"""Measure the effect of departing backend servers on callers."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import attrs
import click

from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.departure import DepartureExperiment
from oleanderweir_bench.departure import DepartureResult
from oleanderweir_bench.deployment import Deployment
from oleanderweir_bench.processes import ProcessSupervisor


@click.command("departure")
def departure() -> None:
    """Drain a backend server, stop the agent of another; exit 1 on a violation."""
    result = run_command(run_experiment)
    click.echo("| | |")
    click.echo("| --- | ---: |")
    for name, value in attrs.asdict(result).items():
        click.echo(f"| {name.replace('_', ' ')} | {value} |")
    sys.exit(0 if result.is_passed else 1)


async def run_experiment() -> DepartureResult:
    """Run the experiment in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="oleanderweir-") as folder:
        async with ProcessSupervisor() as supervisor:
            deployment = Deployment(supervisor=supervisor, folder=Path(folder))
            return await DepartureExperiment(
                deployment=deployment, report_progress=click.echo
            ).run()
