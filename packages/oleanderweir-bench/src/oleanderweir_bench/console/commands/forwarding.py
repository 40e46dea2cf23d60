"""Measure the processor time of forwarding."""

from __future__ import annotations

import click

from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.forwarding import ForwardingBenchmark
from oleanderweir_bench.forwarding import ForwardingCost


@click.command("forwarding")
@click.option("--packets", default=10_000, show_default=True, type=click.IntRange(1000))
def forwarding(packets: int) -> None:
    """Print the processor time per packet, compared with bare relays."""
    costs = run_command(run_benchmark, packets)
    click.echo("| kind | CPU us a packet | times the floor |")
    click.echo("| --- | ---: | ---: |")
    for cost in costs:
        click.echo(f"| {cost.name} | {cost.cpu_us_per_packet:.1f} | {cost.ratio:.2f} |")


async def run_benchmark(packets: int) -> list[ForwardingCost]:
    """Run the benchmark and return the cost of each kind."""
    return await ForwardingBenchmark(packets=packets).run()
