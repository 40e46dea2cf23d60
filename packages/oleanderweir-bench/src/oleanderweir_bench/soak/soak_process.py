"""A balancer or agent process of a soak."""

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
    A balancer or an agent: how to start it, and its current process.

    ``should_run`` is set from ``start`` until ``kill`` or ``terminate``. A process that
    exits in between has exited unexpectedly.
    """

    host: str
    module: str
    settings: Path
    store_port: int
    environment: dict[str, str] = attrs.field(factory=dict)
    supervisor: ProcessSupervisor
    running: SupervisedProcess | None = None
    should_run: bool = False
    start_lock: trio.Lock = attrs.field(factory=trio.Lock)

    @property
    def has_exited_unexpectedly(self) -> bool:
        """Whether the process should run but has exited."""
        return (
            self.should_run and self.running is not None and not self.running.is_running
        )

    async def start(self) -> None:
        """Start a new process, unless another fault has already restarted it."""
        async with self.start_lock:
            if self.should_run and self.running is not None and self.running.is_running:
                return
            if self.running is not None:
                await self.running.wait()
            self.running = await self.supervisor.start(
                self.host,
                [sys.executable, "-m", self.module],
                environment={
                    **self.environment,
                    SETTINGS_VARIABLE: str(self.settings),
                },
            )
            self.should_run = True

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.should_run = False
        if self.running is not None:
            self.running.kill()

    async def terminate(self) -> None:
        """Send SIGTERM and wait until the process has exited."""
        self.should_run = False
        if self.running is not None:
            self.running.terminate()
            await self.running.wait()
