from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.drain import DrainState


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_a_drain_finishes_with_the_last_work_in_flight(
    autojump_clock: MockClock,
) -> None:
    drain = DrainState()
    drain.on_work_started()
    drain.begin(drain_period_s=600.0)
    async with trio.open_nursery() as nursery:

        async def finish_work() -> None:
            await trio.sleep(30.0)
            drain.on_work_completed()

        nursery.start_soon(finish_work)
        assert await drain.wait_finished()

    assert trio.current_time() == 30.0


async def test_a_repeated_start_of_a_drain_does_not_extend_its_period(
    autojump_clock: MockClock,
) -> None:
    drain = DrainState()
    drain.on_work_started()

    drain.begin(drain_period_s=10.0)
    drain.begin(drain_period_s=600.0)

    assert not await drain.wait_finished()
    assert trio.current_time() == 10.0
    assert drain.has_period_passed


async def test_a_drain_calls_its_listeners_and_can_be_cancelled(
    autojump_clock: MockClock,
) -> None:
    calls = []
    drain = DrainState(listeners=[lambda: calls.append(True)])

    drain.begin(drain_period_s=10.0)
    drain.begin(drain_period_s=10.0)
    assert calls == [True]

    drain.cancel()
    assert not drain.is_draining
    drain.begin(drain_period_s=10.0)
    assert calls == [True, True]
