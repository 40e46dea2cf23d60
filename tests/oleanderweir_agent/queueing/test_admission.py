from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from oleanderweir_agent.limits import AimdLimit
from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import FeedAdmission
from oleanderweir_agent.queueing import FifoPolicy
from oleanderweir_agent.queueing import ReservedSlotsPolicy
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from trio.testing import MockClock

    from oleanderweir_agent.queueing import QueuePolicy


SHORT_S = 0.1
LONG_S = 5.0


@attrs.define(kw_only=True)
class Caller:
    admission: Admission
    order: list[str] = attrs.field(factory=list)
    rejections: list[RequestRejectedError] = attrs.field(factory=list)

    async def call(self, path: str, service_time_s: float, deadline_s: float) -> None:
        request = WorkRequest(
            method="GET", path=path, deadline=trio.current_time() + deadline_s
        )
        try:
            async with self.admission.admit(request) as permit:
                self.order.append(path)
                await trio.sleep(service_time_s)
                permit.outcome(WorkResult.SUCCEEDED)
        except RequestRejectedError as rejection:
            self.rejections.append(rejection)

    async def call_all(
        self, paths: Sequence[str], deadline_s: float = 60.0, gap_s: float = 0.001
    ) -> None:
        async with trio.open_nursery() as nursery:
            for path in paths:
                service_time_s = LONG_S if path.startswith("/long") else SHORT_S
                nursery.start_soon(self.call, path, service_time_s, deadline_s)
                await trio.sleep(gap_s)


def make_caller(*, slots: int = 2, policy: QueuePolicy | None = None) -> Caller:
    admission = Admission(
        slots=slots,
        limiter=FixedLimit(limit=slots),
        policy=policy or FifoPolicy(),
    )
    for template in ("/short", "/short/*", "/other"):
        for _ in range(100):
            admission.service_times.observe(
                Route(method="GET", template=template), SHORT_S
            )
    for _ in range(5):
        admission.service_times.observe(Route(method="GET", template="/long"), LONG_S)
    return Caller(admission=admission)


async def test_requests_beyond_the_deadline_are_refused_at_once(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=2)
    started_at = trio.current_time()
    with trio.fail_after(1.0):
        await caller.call_all(["/short"] * 20, deadline_s=0.35)

    reasons = {rejection.reason for rejection in caller.rejections}
    assert reasons == {RejectionReason.DEADLINE_UNREACHABLE}
    assert len(caller.order) == 6
    assert trio.current_time() - started_at == pytest.approx(0.302, abs=0.02)
    assert all(rejection.retry_after_s for rejection in caller.rejections)


async def test_a_full_queue_and_a_past_deadline_are_refused(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=1)
    caller.admission.max_waiting = 2

    await caller.call_all(["/short"] * 4)
    await caller.call("/short", SHORT_S, 0.0)

    reasons = [rejection.reason for rejection in caller.rejections]
    assert reasons == [RejectionReason.QUEUE_FULL, RejectionReason.DEADLINE_PAST]


async def test_a_drain_refuses_what_waits_and_lets_running_work_end(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.call_all, ["/short"] * 3)
        await trio.sleep(0.01)
        caller.admission.drain.begin(drain_period_s=600.0)
        assert await caller.admission.drain.wait_finished()

    assert len(caller.order) == 1
    reasons = {rejection.reason for rejection in caller.rejections}
    assert reasons == {RejectionReason.DRAINING}


async def test_shortest_expected_lets_short_work_pass_but_starves_none(
    autojump_clock: MockClock,
) -> None:
    policy = ShortestExpectedPolicy(stretch=4.0)
    caller = make_caller(slots=1, policy=policy)

    paths = ["/other", "/other", "/long", *["/short"] * 600]
    await caller.call_all(paths, gap_s=0.05, deadline_s=120.0)

    assert caller.order[2] == "/short"
    assert 300 < caller.order.index("/long") < 450


@pytest.mark.parametrize(
    ("policy", "is_short_blocked"),
    [
        (FifoPolicy(), True),
        (ReservedSlotsPolicy(), False),
        (ShortestExpectedPolicy(), False),
    ],
    ids=["fifo", "reserved", "shortest-expected"],
)
async def test_long_work_leaves_a_slot_for_short_work(
    autojump_clock: MockClock, policy: QueuePolicy, is_short_blocked: bool
) -> None:
    caller = make_caller(slots=3, policy=policy)

    with trio.move_on_after(LONG_S / 2):
        await caller.call_all(["/long", "/long", "/long", "/short"])

    assert ("/short" in caller.order) is not is_short_blocked


async def test_a_pause_holds_starts_back_until_it_is_over(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=2)
    limiter = AimdLimit(ceiling=2)
    caller.admission.limiter = limiter
    limiter.paused_until = trio.current_time() + 1.0

    await caller.call("/short", SHORT_S, 0.5)
    assert caller.rejections[0].reason is RejectionReason.BACKEND_PAUSED
    await caller.call("/short", SHORT_S, 5.0)

    assert trio.current_time() == pytest.approx(1.1)


async def test_a_cold_start_opens_slots_without_a_run_that_ends(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=4)
    caller.admission.ramp.restart()

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(caller.call, "/short", 20.0, 60.0)

    assert trio.current_time() == pytest.approx(10.0 + 20.0)
    assert caller.admission.free_slots == 4


async def test_a_dead_backend_server_is_refused_unless_health_is_ignored(
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


async def test_feeds_hold_connections_and_no_slots(autojump_clock: MockClock) -> None:
    feeds = FeedAdmission(connections=1)
    with (
        feeds.admit(),
        pytest.raises(RequestRejectedError, match="connections_full"),
    ):
        feeds.admit().__enter__()
    feeds.drain.begin(drain_period_s=1.0)
    with pytest.raises(RequestRejectedError, match="draining"):
        feeds.admit().__enter__()
