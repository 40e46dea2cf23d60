from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.net import AddressInUseError


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from oleanderweir.settings import ProcessSettings


class FakeProcess:
    """Serves until cancelled, or fails with ``error`` once started."""

    def __init__(self, *, error: Exception | None = None) -> None:
        self.error = error
        self.is_ready = True
        self.is_closed = False

    def create(
        self, settings: ProcessSettings, *, registry: CollectorRegistry
    ) -> FakeProcess:
        return self

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        try:
            task_status.started()
            if self.error is not None:
                raise self.error
            await trio.sleep_forever()
        finally:
            self.is_closed = True


class FakeDrainableProcess(FakeProcess):
    """Drains in ``work_s`` seconds."""

    def __init__(self, *, work_s: float) -> None:
        super().__init__()
        self.work_s = work_s
        self.is_drained = False

    async def drain(self) -> None:
        await trio.sleep(self.work_s)
        self.is_drained = True


class FakeStoppingProcess(FakeProcess):
    """Stops serving without a shutdown signal."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        task_status.started()


def make_address_in_use_error() -> AddressInUseError:
    return AddressInUseError("UDP 127.0.0.1:1 cannot be bound; choose another")
