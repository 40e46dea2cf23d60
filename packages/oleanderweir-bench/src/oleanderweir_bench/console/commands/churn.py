"""Count broken sessions while balancers and backend servers change."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from oleanderweir_bench.churn import ChurnExperiment
from oleanderweir_bench.churn import ChurnReport
from oleanderweir_bench.churn import ChurnResult
from oleanderweir_bench.churn import ChurnSchedule
from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.deployment import BalancerKind
from oleanderweir_bench.deployment import Deployment
from oleanderweir_bench.processes import ProcessSupervisor


@click.command("churn")
@click.option("--sessions", type=click.IntRange(1), default=300, show_default=True)
@click.option(
    "--routing",
    type=click.Choice([*(kind.value for kind in BalancerKind), "both"]),
    default="both",
    show_default=True,
)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for churn.md and churn.json.",
)
def churn(*, sessions: int, routing: str, output: Path | None) -> None:
    """Keep sessions open during changes; exit 1 if anchored routing has a fault."""
    kinds = [kind for kind in BalancerKind if routing in {kind.value, "both"}]
    results = [run_command(run_churn, kind, sessions) for kind in kinds]
    report = ChurnReport(results=results)
    click.echo()
    click.echo(report.to_markdown())
    if output is not None:
        report.write(output)
    anchored = [
        result for result in results if result.routing == BalancerKind.ANCHORED.value
    ]
    sys.exit(0 if all(result.is_passed for result in anchored) else 1)


async def run_churn(kind: BalancerKind, sessions: int) -> ChurnResult:
    """Run the schedule once with one kind of balancer."""
    click.echo(f"Routing: {kind.value}")
    with tempfile.TemporaryDirectory(prefix="oleanderweir-") as folder:
        async with ProcessSupervisor() as supervisor:
            deployment = Deployment(
                supervisor=supervisor, folder=Path(folder), balancer_kind=kind
            )
            return await ChurnExperiment(
                deployment=deployment,
                schedule=ChurnSchedule(),
                sessions=sessions,
                routing=kind.value,
                report_progress=click.echo,
            ).run()
