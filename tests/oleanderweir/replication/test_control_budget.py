from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.replication import ControlBudget


if TYPE_CHECKING:
    from trio.testing import MockClock


WINDOW_S = 300
LIMIT_BYTES_PER_S = 4096


async def test_no_window_exceeds_the_average_rate(autojump_clock: MockClock) -> None:
    budget = ControlBudget()
    sent: list[tuple[float, int]] = []
    while trio.current_time() < 3 * WINDOW_S:
        await budget.wait()
        budget.charge(20_000, direction="sent")
        sent.append((trio.current_time(), 20_000))
    for start, _ in sent:
        window_sizes = [
            size for sent_at, size in sent if start <= sent_at < start + WINDOW_S
        ]
        # The last message of a window may overdraw the bucket.
        assert sum(window_sizes) <= LIMIT_BYTES_PER_S * WINDOW_S + 20_000


async def test_received_bytes_delay_sending(autojump_clock: MockClock) -> None:
    budget = ControlBudget(rate_bytes_per_s=100, capacity_bytes=1000)
    budget.charge(1500, direction="received")
    start = trio.current_time()
    await budget.wait()
    assert 5 <= trio.current_time() - start < 6


async def test_reserve_delays_repairs_only(autojump_clock: MockClock) -> None:
    budget = ControlBudget(rate_bytes_per_s=100, capacity_bytes=1000)
    budget.charge(900, direction="sent")
    assert budget.delay_s() == 0
    assert budget.delay_s(reserve_bytes=200) > 0
