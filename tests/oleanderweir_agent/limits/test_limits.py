from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_agent.limits import AimdLimit
from oleanderweir_agent.limits import ColdStartRamp
from oleanderweir_agent.limits import ConcurrencyLimit
from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.limits import GradientLimit
from oleanderweir_agent.limits import Unlimited
from oleanderweir_agent.limits import WorkOutcome
from oleanderweir_agent.limits import WorkResult


if TYPE_CHECKING:
    from trio.testing import MockClock


def run(
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


@pytest.mark.parametrize(
    "limit", [FixedLimit(limit=4), Unlimited()], ids=["fixed", "unlimited"]
)
def test_a_fixed_limit_learns_nothing(limit: FixedLimit | Unlimited) -> None:
    before = limit.limit

    run(limit, WorkResult.SHED, retry_after_s=3.0)

    assert limit.limit == before
    assert limit.paused_until == 0.0


async def test_aimd_halves_once_for_one_burst(autojump_clock: MockClock) -> None:
    limit = AimdLimit(ceiling=16)

    for _ in range(5):
        run(limit, WorkResult.SHED)
    assert limit.limit == 8

    await trio.sleep(0.2)
    run(limit, WorkResult.TIMED_OUT)
    assert limit.limit == 4


async def test_aimd_pauses_for_retry_after_with_a_bound(
    autojump_clock: MockClock,
) -> None:
    limit = AimdLimit(ceiling=4, max_pause_s=5.0)

    run(limit, WorkResult.SHED, retry_after_s=2.0)
    assert limit.paused_until == trio.current_time() + 2.0

    run(limit, WorkResult.SHED, retry_after_s=3600.0)
    assert limit.paused_until == trio.current_time() + 5.0


async def test_aimd_widens_by_one_after_a_window_and_stops_at_the_slots(
    autojump_clock: MockClock,
) -> None:
    limit = AimdLimit(ceiling=4, window_runs=10)
    run(limit, WorkResult.FAILED)
    assert limit.limit == 2

    for _ in range(10):
        run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 3

    for _ in range(50):
        run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 4


async def test_gradient_shrinks_as_service_times_stretch_and_recovers(
    autojump_clock: MockClock,
) -> None:
    limit = GradientLimit(ceiling=16)
    for _ in range(20):
        run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 16

    for _ in range(40):
        run(limit, WorkResult.SUCCEEDED, service_time_s=0.4)
    assert limit.limit <= 8

    for _ in range(80):
        run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 16


@pytest.mark.parametrize("kind", [AimdLimit, GradientLimit], ids=["aimd", "gradient"])
async def test_limits_never_fall_below_one(
    autojump_clock: MockClock, kind: type[AimdLimit | GradientLimit]
) -> None:
    limit = kind(ceiling=4)

    for _ in range(20):
        run(limit, WorkResult.FAILED)
        await trio.sleep(1.0)

    assert limit.limit >= 1


async def test_an_abandoned_run_teaches_nothing(autojump_clock: MockClock) -> None:
    aimd = AimdLimit(ceiling=4)
    gradient = GradientLimit(ceiling=4)

    for limit in (aimd, gradient):
        run(limit, WorkResult.ABANDONED)

    assert aimd.limit == gradient.limit == 4


async def test_a_cold_start_opens_slot_by_slot(autojump_clock: MockClock) -> None:
    ramp = ColdStartRamp(duration_s=9.0, first_share=0.25)
    assert ramp.limit(4) == 4

    ramp.restart()
    seen = []
    while ramp.limit(4) < 4:
        seen.append(ramp.limit(4))
        await trio.sleep_until(ramp.next_rise_at(4) + 0.001)

    assert seen == [1, 2, 3]
    assert ramp.next_rise_at(4) == float("inf")
