from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_agent.health import BackendHealth
from oleanderweir_agent.health import HealthState
from oleanderweir_agent.limits import ColdStartRamp
from oleanderweir_agent.limits import WorkOutcome
from oleanderweir_agent.limits import WorkResult


if TYPE_CHECKING:
    from trio.testing import MockClock


def record_outcome(
    health: BackendHealth, result: WorkResult, *, times: int = 1
) -> None:
    for _ in range(times):
        health.record_outcome(
            WorkOutcome(result=result, service_time_s=0.1, expected_s=0.1, in_flight=1)
        )


async def test_outcomes_override_a_wrong_probe(
    autojump_clock: MockClock,
) -> None:
    health = BackendHealth(ramp=ColdStartRamp())
    states = []
    health.record_probe(is_healthy=False)
    states.append(health.state)
    record_outcome(health, WorkResult.SUCCEEDED)
    health.record_probe(is_healthy=False)
    states.append(health.state)
    record_outcome(health, WorkResult.FAILED, times=5)
    health.record_probe(is_healthy=True)
    states.append(health.state)

    assert states == [HealthState.PROBATION, HealthState.HEALTHY, HealthState.EJECTED]


async def test_failed_probes_alone_never_eject(
    autojump_clock: MockClock,
) -> None:
    health = BackendHealth(ramp=ColdStartRamp())
    for _ in range(20):
        health.record_probe(is_healthy=False)
        await trio.sleep(5.0)

    assert health.is_usable


async def test_probe_result_expires(autojump_clock: MockClock) -> None:
    health = BackendHealth(ramp=ColdStartRamp())
    health.record_probe(is_healthy=False)

    await trio.sleep(10.1)

    assert health.state is HealthState.UNKNOWN
    assert health.is_usable


async def test_ejections_double_until_a_success_restarts_the_ramp(
    autojump_clock: MockClock,
) -> None:
    health = BackendHealth(ramp=ColdStartRamp())
    durations = []
    record_outcome(health, WorkResult.FAILED, times=5)
    for _ in range(3):
        durations.append(health.ejected_until - trio.current_time())
        await trio.sleep_until(health.ejected_until)
        assert health.state is HealthState.PROBATION
        record_outcome(health, WorkResult.TIMED_OUT)

    assert durations == pytest.approx([1.0, 2.0, 4.0])
    await trio.sleep_until(health.ejected_until)
    record_outcome(health, WorkResult.SUCCEEDED)
    assert health.is_usable
    assert health.ramp.limit(4) == 1


async def test_shed_requests_do_not_count_as_failures(
    autojump_clock: MockClock,
) -> None:
    health = BackendHealth(ramp=ColdStartRamp())

    record_outcome(health, WorkResult.SHED, times=50)

    assert health.state is HealthState.HEALTHY
