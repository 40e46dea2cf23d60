from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir_bench.soak.stall_watch import StallWatch


async def test_a_stall_of_the_process_is_reported_with_its_duration(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stalls: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(StallWatch(on_stall=stalls.append).run)
        await trio.sleep(1.05)

        autojump_clock.jump(2.0)

        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert stalls == [pytest.approx(1.95)]


async def test_a_process_that_runs_reports_no_stall(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stalls: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(StallWatch(on_stall=stalls.append).run)
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert stalls == []
