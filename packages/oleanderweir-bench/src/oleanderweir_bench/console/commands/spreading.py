"""Measure the replication of tickets between real nodes."""

from __future__ import annotations

import json
import logging
from pathlib import Path

import attrs
import click
import trio

from oleanderweir_bench.replication import ReplicationExperiment
from oleanderweir_bench.replication import ReplicationPlan
from oleanderweir_bench.replication import ReplicationResult
from oleanderweir_bench.replication import make_table


PRESET_TICKETS = 10


@click.command("spreading")
@click.option(
    "--nodes",
    "node_counts",
    type=click.IntRange(min=2, max=1000),
    multiple=True,
    default=[200],
    show_default=True,
    help="Nodes per run; repeat it for several runs.",
)
@click.option(
    "--workers",
    type=click.IntRange(min=1, max=16),
    default=4,
    show_default=True,
    help="Processes that run the nodes.",
)
@click.option(
    "--services",
    type=click.IntRange(min=10),
    default=200,
    show_default=True,
    help="Services that are published before the nodes start.",
)
@click.option(
    "--output",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File for the results as JSON.",
)
def spreading(
    node_counts: tuple[int, ...], workers: int, services: int, output: Path | None
) -> None:
    """Run nodes on the loopback address and print the costs of replication."""
    logging.basicConfig(level=logging.ERROR)
    plans = [
        ReplicationPlan(
            node_count=count,
            worker_count=workers,
            preset_tickets=PRESET_TICKETS,
            services_per_ticket=services // PRESET_TICKETS,
        )
        for count in node_counts
    ]
    results = [trio.run(run_experiment, plan) for plan in plans]
    if output is not None:
        documents = [attrs.asdict(result) for result in results]
        output.write_text(json.dumps(documents, indent=2) + "\n", encoding="utf-8")
    click.echo(make_table(results))


async def run_experiment(plan: ReplicationPlan) -> ReplicationResult:
    """Run one experiment with its own stand-ins and workers."""
    async with ReplicationExperiment.prepare(plan) as experiment:
        return await experiment.run()
