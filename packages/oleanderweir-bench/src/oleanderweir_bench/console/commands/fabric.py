"""Run a stand-in fabric."""

from __future__ import annotations

import random as random_module

import click
import trio

from oleanderweir.net import SocketAddress
from oleanderweir_bench.console.address_type import ADDRESS
from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.console.serving import serve_application
from oleanderweir_bench.fabric import ControlApplication
from oleanderweir_bench.fabric import FabricStandIn


@click.command("fabric")
@click.option(
    "--service",
    "services",
    type=ADDRESS,
    multiple=True,
    required=True,
    help="Service address to bind (HOST:PORT, UDP); may be given several times.",
)
@click.option(
    "--balancer",
    "balancers",
    multiple=True,
    help="Host on which a balancer serves the port of each service address.",
)
@click.option(
    "--control", type=ADDRESS, required=True, help="Address of the control interface."
)
@click.option("--seed", default=1, show_default=True, help="Random seed.")
def fabric(
    services: tuple[SocketAddress, ...],
    balancers: tuple[str, ...],
    control: SocketAddress,
    seed: int,
) -> None:
    """Distribute the packets of service addresses over balancers."""
    fabrics = [
        FabricStandIn(
            service_address=service,
            balancers=[
                SocketAddress.parse(f"{host}:{service.port}") for host in balancers
            ],
            random=random_module.Random(seed),
        )
        for service in services
    ]
    run_command(run_fabrics, fabrics, control)


async def run_fabrics(fabrics: list[FabricStandIn], control: SocketAddress) -> None:
    """Run the fabrics and their control interface until cancelled."""
    async with trio.open_nursery() as nursery:
        for stand_in in fabrics:
            await nursery.start(stand_in.run)
        application = ControlApplication(fabrics=fabrics).asgi
        nursery.start_soon(serve_application, application, control)
