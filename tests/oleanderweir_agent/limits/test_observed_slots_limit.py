from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.limits import WorkResult
from tests.oleanderweir_agent.limits.limit_runs import record_run


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_a_shed_request_reduces_the_limit_to_the_other_requests(
    autojump_clock: MockClock,
) -> None:
    limit = ObservedSlotsLimit(ceiling=4)

    record_run(limit, WorkResult.SHED, retry_after_s=3.0)

    assert limit.limit == 3
    assert limit.paused_until == 0.0


async def test_a_shed_request_without_others_in_flight_pauses_starts(
    autojump_clock: MockClock,
) -> None:
    limit = ObservedSlotsLimit(ceiling=1)

    record_run(limit, WorkResult.SHED, retry_after_s=3.0)
    assert limit.paused_until == trio.current_time() + 3.0

    record_run(limit, WorkResult.SHED, retry_after_s=3600.0)
    assert limit.paused_until == trio.current_time() + 5.0
    assert limit.limit == 1


async def test_the_limit_rises_after_the_probe_interval(
    autojump_clock: MockClock,
) -> None:
    limit = ObservedSlotsLimit(ceiling=4)
    record_run(limit, WorkResult.SHED)
    record_run(limit, WorkResult.SHED)

    limits = []
    for _ in range(6):
        record_run(limit, WorkResult.SUCCEEDED)
        limits.append(limit.limit)
        await trio.sleep(1.0)

    assert limits == [2, 2, 3, 3, 4, 4]
