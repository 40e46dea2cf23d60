"""A process of the system under the soak."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir_bench.processes import ProcessSupervisor
    from oleanderweir_bench.processes import SupervisedProcess


SETTINGS_VARIABLE = "OLEANDERWEIR_SETTINGS"


@attrs.define(kw_only=True, eq=False)
class SoakProcess:
    """
    A balancer or an agent: what starts it, and its running process.

    ``is_wanted`` while it should run; one that ends all the same ended by itself.
    """

    host: str
    module: str
    settings: Path
    store_port: int
    supervisor: ProcessSupervisor
    running: SupervisedProcess | None = None
    is_wanted: bool = False
    starting: trio.Lock = attrs.field(factory=trio.Lock)

    @property
    def has_ended_by_itself(self) -> bool:
        """Whether it should run and doesn't."""
        return (
            self.is_wanted and self.running is not None and not self.running.is_running
        )

    async def start(self) -> None:
        """Start it with an empty memory, unless another fault did so before."""
        async with self.starting:
            if self.is_wanted and self.running is not None and self.running.is_running:
                return
            if self.running is not None:
                await self.running.wait()
            self.running = await self.supervisor.start(
                self.host,
                [sys.executable, "-m", self.module],
                environment={SETTINGS_VARIABLE: str(self.settings)},
            )
            self.is_wanted = True

    def kill(self) -> None:
        """End it at once."""
        self.is_wanted = False
        if self.running is not None:
            self.running.kill()

    async def terminate(self) -> None:
        """Ask it to end, and wait until it has."""
        self.is_wanted = False
        if self.running is not None:
            self.running.terminate()
            await self.running.wait()
