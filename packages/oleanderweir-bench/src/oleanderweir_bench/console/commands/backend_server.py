"""Run a stand-in backend server."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import click

from oleanderweir_bench.backend import Application
from oleanderweir_bench.backend import BackendOptions
from oleanderweir_bench.backend import Executor
from oleanderweir_bench.backend import RunLedger
from oleanderweir_bench.console.address_type import ADDRESS
from oleanderweir_bench.console.runner import run_command
from oleanderweir_bench.console.serving import serve_application


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@click.command("backend-server")
@click.option("--address", type=ADDRESS, required=True, help="HOST:PORT to serve on.")
@click.option("--service", required=True, help="Name of its service.")
@click.option(
    "--name",
    default="backend-server",
    show_default=True,
    help="Name of the backend server.",
)
@click.option("--slots", type=click.IntRange(1), default=4, show_default=True)
@click.option("--queue-limit", type=click.IntRange(0), default=4, show_default=True)
@click.option("--connections", type=click.IntRange(0), default=2000, show_default=True)
@click.option(
    "--speed",
    type=click.FloatRange(0, min_open=True),
    default=1.0,
    show_default=True,
    help="Speed factor; the nominal time of work is divided by it.",
)
@click.option("--cold-start-s", type=click.FloatRange(0), default=0.0)
@click.option("--work-ms", type=click.FloatRange(0), default=5.0, show_default=True)
def backend_server(
    *,
    address: SocketAddress,
    service: str,
    name: str,
    slots: int,
    queue_limit: int,
    connections: int,
    speed: float,
    cold_start_s: float,
    work_ms: float,
) -> None:
    """Serve HTTP/1.1 as a backend server; write the ledger of runs as JSON lines."""
    options = BackendOptions(
        slots=slots,
        queue_limit=queue_limit,
        connections=connections,
        speed=speed,
        cold_start_s=cold_start_s,
        work_ms=work_ms,
    )
    ledger = RunLedger(backend_server=name, now=time.time, output=sys.stdout)
    run_command(run_backend_server, options, ledger, service, address)


async def run_backend_server(
    options: BackendOptions, ledger: RunLedger, service: str, address: SocketAddress
) -> None:
    """Run the backend server until cancelled."""
    executor = Executor(options=options, ledger=ledger)
    application = Application(executor=executor, service=service)
    await serve_application(application.asgi, address)
