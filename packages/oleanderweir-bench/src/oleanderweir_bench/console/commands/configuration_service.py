"""Run a stand-in for the platform's configuration service and instance list."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
import trio

from oleanderweir_bench.console.address_type import ADDRESS
from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.platform import ConfigurationServiceStandIn
from oleanderweir_bench.platform import TicketFolder
from oleanderweir_bench.platform import serve_application


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@click.command("configuration-service")
@click.option("--address", type=ADDRESS, default="127.0.0.1:8500", show_default=True)
@click.option(
    "--tickets",
    "folder",
    required=True,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of ticket files; files added later are published too.",
)
def configuration_service(address: SocketAddress, folder: Path) -> None:
    """Serve the tickets of a folder as the platform's configuration service does."""
    run_command(serve_folder, address, folder)


async def serve_folder(address: SocketAddress, folder: Path) -> None:
    """Publish the tickets of a folder and serve them until cancelled."""
    stand_in = ConfigurationServiceStandIn()
    tickets = TicketFolder(path=folder, state=stand_in.state)
    tickets.publish_all()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tickets.follow)
        await serve_application(
            stand_in.application, host=address.host, port=address.port
        )
