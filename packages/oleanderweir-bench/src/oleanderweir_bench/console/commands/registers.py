"""Measure the cost of the ticket register."""

from __future__ import annotations

import json

import attrs
import click

from oleanderweir_bench.registers import RegisterMeasurement


@click.command("registers")
@click.option("--services", default=2_700, show_default=True)
@click.option("--backend-servers", default=11_000, show_default=True)
def registers(services: int, backend_servers: int) -> None:
    """Print the costs of a register of the given size as JSON."""
    measurement = RegisterMeasurement(
        services=services, backend_servers=backend_servers
    )
    click.echo(json.dumps(attrs.asdict(measurement.run()), indent=2))
