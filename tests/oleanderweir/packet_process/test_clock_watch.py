from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.packet_process.clock_watch import ClockWatch


class FakeClock:
    """A clock that counts the time of trio's clock and that of suspensions."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return trio.current_time() + self.suspended_s


@pytest.mark.parametrize(("suspended_s", "wakes"), [(0.0, 0), (0.4, 0), (1.5, 1)])
async def test_a_process_notices_once_that_it_stood_still(
    autojump_clock: trio.testing.MockClock, suspended_s: float, wakes: int
) -> None:
    clock = FakeClock()
    woken_at: list[float] = []
    watch = ClockWatch(
        on_wake=lambda: woken_at.append(trio.current_time()), clock=clock
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run)
        await trio.sleep(3.5)
        clock.suspended_s += suspended_s
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()

    assert len(woken_at) == wakes


async def test_a_standstill_is_noticed_before_any_timer_is_due() -> None:
    clock = FakeClock()
    wakes: list[float] = []
    watch = ClockWatch(on_wake=lambda: wakes.append(clock()), clock=clock)
    clock.suspended_s += 2.0

    assert watch.check()
    assert not watch.check()
    assert len(wakes) == 1
