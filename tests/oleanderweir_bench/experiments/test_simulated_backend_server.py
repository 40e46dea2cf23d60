from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_bench.experiments.simulated_backend_server import (
    SimulatedBackendServer,
)
from oleanderweir_bench.experiments.simulated_backend_server import SimulatedShedError


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_work_waits_for_a_slot_and_runs_at_the_speed_of_the_server(
    autojump_clock: MockClock,
) -> None:
    server = SimulatedBackendServer(name="a", slots=2, speed=2.0)

    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(server.run, 1.0)

    assert trio.current_time() == pytest.approx(1.0)
    assert server.busy_s == pytest.approx(1.5)


async def test_work_beyond_the_backlog_is_shed(autojump_clock: MockClock) -> None:
    server = SimulatedBackendServer(name="a", slots=1, speed=1.0, backlog=1)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, 1.0)
        await trio.sleep(0.1)
        nursery.start_soon(server.run, 1.0)
        await trio.sleep(0.1)
        with pytest.raises(SimulatedShedError):
            await server.run(1.0)
