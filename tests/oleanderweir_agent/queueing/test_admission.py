from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError
from tests.oleanderweir_agent.queueing.queue_caller import SHORT_S
from tests.oleanderweir_agent.queueing.queue_caller import make_caller


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_requests_for_a_full_queue_or_past_the_deadline_are_rejected(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=1)
    caller.admission.max_waiting = 2

    await caller.call_all(["/short"] * 4)
    await caller.call("/short", SHORT_S, 0.0)

    reasons = [rejection.reason for rejection in caller.rejections]
    assert reasons == [RejectionReason.QUEUE_FULL, RejectionReason.DEADLINE_PAST]


async def test_a_drain_rejects_queued_requests_and_lets_running_ones_complete(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.call_all, ["/short"] * 3)
        await trio.sleep(0.01)
        caller.admission.drain.begin(drain_period_s=600.0)
        assert await caller.admission.drain.wait_finished()

    assert len(caller.started_paths) == 1
    reasons = {rejection.reason for rejection in caller.rejections}
    assert reasons == {RejectionReason.DRAINING}


async def test_a_pause_delays_starts_until_it_ends(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=2)
    limiter = ObservedSlotsLimit(ceiling=2)
    caller.admission.limiter = limiter
    limiter.paused_until = trio.current_time() + 1.0

    await caller.call("/short", SHORT_S, 0.5)
    assert caller.rejections[0].reason is RejectionReason.BACKEND_PAUSED
    await caller.call("/short", SHORT_S, 5.0)

    assert trio.current_time() == pytest.approx(1.1)


async def test_a_cold_start_adds_slots_before_any_run_completes(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=4)
    caller.admission.ramp.restart()

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(caller.call, "/short", 20.0, 60.0)

    assert trio.current_time() == pytest.approx(10.0 + 20.0)
    assert caller.admission.free_slots == 4


async def test_requests_are_rejected_after_an_ejection_unless_health_is_ignored(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller()
    caller.admission.health.eject()

    await caller.call("/short", SHORT_S, 5.0)
    assert caller.rejections[0].reason is RejectionReason.BACKEND_DEAD

    request = WorkRequest(
        method="GET", path="/short", deadline=5.0, ignores_health=True
    )
    async with caller.admission.admit(request) as permit:
        assert permit.queued_s == 0.0


async def test_a_request_keeps_its_position_after_a_queue_timeout(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.call, "/other", SHORT_S, 5.0)
        await trio.sleep(0.01)
        request = WorkRequest(
            method="GET", path="/short", deadline=5.0, queue_timeout_s=0.02
        )
        with pytest.raises(RequestRejectedError, match="patience_over"):
            await caller.admission.acquire(request)
        assert trio.current_time() == pytest.approx(0.03)
        nursery.start_soon(caller.call, "/other", SHORT_S, 5.0)
        await trio.sleep(0.01)
        permit = await caller.admission.acquire(
            attrs.evolve(request, arrived_at=0.01, queue_timeout_s=5.0)
        )

        assert permit.started_at == pytest.approx(SHORT_S)
        caller.admission.release(permit)
