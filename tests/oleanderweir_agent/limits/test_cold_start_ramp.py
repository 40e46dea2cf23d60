from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.limits import ColdStartRamp
from oleanderweir_agent.limits import ConcurrencyLimit
from oleanderweir_agent.limits import WorkOutcome
from oleanderweir_agent.limits import WorkResult


if TYPE_CHECKING:
    from trio.testing import MockClock


def record_run(
    limit: ConcurrencyLimit,
    result: WorkResult,
    *,
    service_time_s: float = 0.1,
    retry_after_s: float | None = None,
) -> None:
    limit.record(
        WorkOutcome(
            result=result,
            service_time_s=service_time_s,
            expected_s=0.1,
            in_flight=limit.limit,
            retry_after_s=retry_after_s,
        )
    )


async def test_a_cold_start_adds_one_slot_at_a_time(autojump_clock: MockClock) -> None:
    ramp = ColdStartRamp(duration_s=9.0, initial_share=0.25)
    assert ramp.limit(4) == 4

    ramp.restart()
    limits = []
    while ramp.limit(4) < 4:
        limits.append(ramp.limit(4))
        await trio.sleep_until(ramp.next_rise_at(4) + 0.001)

    assert limits == [1, 2, 3]
    assert ramp.next_rise_at(4) == float("inf")
