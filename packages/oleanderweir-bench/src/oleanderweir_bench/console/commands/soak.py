"""Run the real processes under random faults."""

from __future__ import annotations

import click
import trio

from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.soak import REGRESSIONS
from oleanderweir_bench.soak import SoakExtras
from oleanderweir_bench.soak import SoakPlan
from oleanderweir_bench.soak import SoakReport
from oleanderweir_bench.soak import run_soak


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option(
    "--seeds", type=int, default=1, show_default=True, help="Number of seeds."
)
@click.option("--regressions", is_flag=True, help="Run the seeds of past failures.")
@click.option("--faults-s", type=float, default=12.0, show_default=True)
@click.option("--balancers", type=int, default=3, show_default=True)
@click.option("--backends", type=int, default=5, show_default=True)
@click.option("--callers", type=int, default=40, show_default=True)
@click.option(
    "--restore-probability",
    type=float,
    default=0.1,
    show_default=True,
    help="Probability of a restore of the store along with each fault.",
)
@click.option(
    "--extras",
    is_flag=True,
    help="Evacuate zones, limit cold starts, use slow links and hedges, by the seed.",
)
def soak(
    *,
    seed: int,
    seeds: int,
    regressions: bool,
    faults_s: float,
    balancers: int,
    backends: int,
    callers: int,
    restore_probability: float,
    extras: bool,
) -> None:
    """Run the real processes under random faults and check every guarantee."""
    plans = [
        SoakPlan(
            seed=plan_seed,
            faults_s=faults_s,
            balancers=balancers,
            backends=backends,
            callers=callers,
            restore_probability=restore_probability,
            extras=SoakExtras.draw(plan_seed) if extras else SoakExtras(),
        )
        for plan_seed in range(seed, seed + seeds)
    ]
    table = ResultTable(
        title="Soak",
        headings=("seed", "asked", "in time", "late", "failed", "broken", "at the end"),
    )
    is_clean = True
    for plan in REGRESSIONS if regressions else plans:
        report = trio.run(run_soak, plan)
        is_clean = is_clean and report.is_clean
        _add_row(table, report)
        if not report.is_clean:
            click.echo(f"seed {plan.seed}: {report.overall}")
            click.echo("\n".join((*report.events, *report.log)))
    click.echo(table.render())
    if not is_clean:
        raise SystemExit(1)


def _add_row(table: ResultTable, report: SoakReport) -> None:
    overall, after_recovery = report.overall, report.after_recovery
    counts = (
        overall.total,
        overall.in_time,
        overall.late,
        overall.failed,
        overall.violations,
    )
    end = f"{after_recovery.served} of {after_recovery.total}"
    table.add(str(report.seed), *(str(count) for count in counts), end)
