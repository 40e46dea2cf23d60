from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.packet_process import clock_watch


class FakeClock:
    """A clock that counts the time of trio's clock and that of suspensions."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return trio.current_time() + self.suspended_s


@pytest.mark.parametrize(("suspended_s", "wakes"), [(0.0, 0), (0.4, 0), (1.5, 1)])
async def test_a_process_notices_once_that_it_stood_still(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    suspended_s: float,
    wakes: int,
) -> None:
    clock = FakeClock()
    monkeypatch.setattr(clock_watch, "boot_time_s", clock)
    woken_at: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            clock_watch.watch_clock, lambda: woken_at.append(trio.current_time())
        )
        await trio.sleep(3.5)
        clock.suspended_s += suspended_s
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()

    assert len(woken_at) == wakes
