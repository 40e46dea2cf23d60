from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.limits import WorkResult
from oleanderweir_bench.experiments.baselines import AimdLimit
from tests.oleanderweir_agent.limits.limit_runs import record_run


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_aimd_halves_the_limit_once_per_burst(autojump_clock: MockClock) -> None:
    limit = AimdLimit(ceiling=16)

    for _ in range(5):
        record_run(limit, WorkResult.SHED)
    assert limit.limit == 8

    await trio.sleep(0.2)
    record_run(limit, WorkResult.TIMED_OUT)
    assert limit.limit == 4


async def test_aimd_pauses_for_retry_after_up_to_the_maximum(
    autojump_clock: MockClock,
) -> None:
    limit = AimdLimit(ceiling=4, max_pause_s=5.0)

    record_run(limit, WorkResult.SHED, retry_after_s=2.0)
    assert limit.paused_until == trio.current_time() + 2.0

    record_run(limit, WorkResult.SHED, retry_after_s=3600.0)
    assert limit.paused_until == trio.current_time() + 5.0


async def test_aimd_raises_the_limit_by_one_per_window_up_to_the_slots(
    autojump_clock: MockClock,
) -> None:
    limit = AimdLimit(ceiling=4, window_runs=10)
    record_run(limit, WorkResult.FAILED)
    assert limit.limit == 2

    for _ in range(10):
        record_run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 3

    for _ in range(50):
        record_run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 4
