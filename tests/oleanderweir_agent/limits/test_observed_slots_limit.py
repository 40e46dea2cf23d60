from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.limits import WorkResult
from tests.oleanderweir_agent.limits.limit_runs import record_run


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_a_shed_shows_how_many_slots_there_are(autojump_clock: MockClock) -> None:
    limit = ObservedSlotsLimit(ceiling=4)

    record_run(limit, WorkResult.SHED, retry_after_s=3.0)

    assert limit.limit == 3
    assert limit.paused_until == 0.0


async def test_a_shed_with_nothing_else_running_pauses(
    autojump_clock: MockClock,
) -> None:
    limit = ObservedSlotsLimit(ceiling=1)

    record_run(limit, WorkResult.SHED, retry_after_s=3.0)
    assert limit.paused_until == trio.current_time() + 3.0

    record_run(limit, WorkResult.SHED, retry_after_s=3600.0)
    assert limit.paused_until == trio.current_time() + 5.0
    assert limit.limit == 1


async def test_one_more_slot_is_tried_after_a_while(autojump_clock: MockClock) -> None:
    limit = ObservedSlotsLimit(ceiling=4)
    record_run(limit, WorkResult.SHED)
    record_run(limit, WorkResult.SHED)

    seen = []
    for _ in range(6):
        record_run(limit, WorkResult.SUCCEEDED)
        seen.append(limit.limit)
        await trio.sleep(1.0)

    assert seen == [2, 2, 3, 3, 4, 4]
