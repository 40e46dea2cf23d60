"""Processes of the stand-ins for the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.processes import ProcessSupervisor
    from oleanderweir_bench.processes import SupervisedProcess


BENCH = "oleanderweir_bench"


@attrs.frozen(kw_only=True)
class PlatformProcesses:
    """
    Starts the stand-in processes of the bench.

    Methods that wait for a process raise ``ProcessFailedError`` when it exits or does
    not become ready in time.
    """

    supervisor: ProcessSupervisor

    async def start_configuration_service(
        self, address: SocketAddress, tickets: Path
    ) -> None:
        """Start a configuration service for a ticket folder; wait until it listens."""
        process = await self.supervisor.start_module(
            "configuration-service",
            BENCH,
            "configuration-service",
            f"--address={address}",
            f"--tickets={tickets}",
        )
        await process.wait_port(address)

    async def start_fabric(
        self, service: SocketAddress, control: SocketAddress, balancers: Sequence[str]
    ) -> None:
        """Start a fabric in front of balancers; wait until its control port listens."""
        process = await self.supervisor.start_module(
            "fabric",
            BENCH,
            "fabric",
            f"--service={service}",
            f"--control={control}",
            *(f"--balancer={host}" for host in balancers),
        )
        await process.wait_port(control)

    async def start_backend_server(
        self, name: str, service: str, address: SocketAddress, slots: int
    ) -> SupervisedProcess:
        """Start a backend server without waiting until it is ready."""
        return await self.supervisor.start_module(
            name,
            BENCH,
            "backend-server",
            f"--address={address}",
            f"--service={service}",
            f"--name={name}",
            f"--slots={slots}",
        )
