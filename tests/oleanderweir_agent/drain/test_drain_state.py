from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.drain import DrainState


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_a_drain_ends_when_the_last_work_ends(autojump_clock: MockClock) -> None:
    drain = DrainState()
    drain.begin_work()
    drain.begin(drain_period_s=600.0)
    async with trio.open_nursery() as nursery:

        async def finish_work() -> None:
            await trio.sleep(30.0)
            drain.end_work()

        nursery.start_soon(finish_work)
        assert await drain.wait_finished()

    assert trio.current_time() == 30.0


async def test_the_drain_period_bounds_the_wait(autojump_clock: MockClock) -> None:
    drain = DrainState()
    drain.begin_work()

    drain.begin(drain_period_s=10.0)
    drain.begin(drain_period_s=600.0)

    assert not await drain.wait_finished()
    assert trio.current_time() == 10.0
    assert drain.has_period_passed


async def test_a_drain_tells_its_listeners_and_can_be_called_off(
    autojump_clock: MockClock,
) -> None:
    told = []
    drain = DrainState(listeners=[lambda: told.append(True)])

    drain.begin(drain_period_s=10.0)
    drain.begin(drain_period_s=10.0)
    assert told == [True]

    drain.call_off()
    assert not drain.is_draining
    drain.begin(drain_period_s=10.0)
    assert told == [True, True]
