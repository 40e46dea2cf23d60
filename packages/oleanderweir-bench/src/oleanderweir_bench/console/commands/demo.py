"""Run the demonstration."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.demo import Demo
from oleanderweir_bench.demo import DemoCheck
from oleanderweir_bench.deployment import Deployment
from oleanderweir_bench.processes import ProcessSupervisor


@click.command("demo")
def demo() -> None:
    """Start a deployment, kill a balancer during a feed and print the checks."""
    checks = run_command(run_demo)
    click.echo()
    for check in checks:
        mark = "ok    " if check.is_passed else "FAILED"
        click.echo(f"{mark} {check.name}: {check.observed}")
    sys.exit(0 if all(check.is_passed for check in checks) else 1)


async def run_demo() -> list[DemoCheck]:
    """Run the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="oleanderweir-") as folder:
        async with ProcessSupervisor() as supervisor:
            deployment = Deployment(supervisor=supervisor, folder=Path(folder))
            return await Demo(deployment=deployment, report_progress=click.echo).run()
