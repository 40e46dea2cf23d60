from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError
from tests.oleanderweir_agent.queueing.queue_caller import SHORT_S
from tests.oleanderweir_agent.queueing.queue_caller import make_caller


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_requests_that_would_miss_the_deadline_are_rejected_at_once(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=2)
    started_at = trio.current_time()
    with trio.fail_after(1.0):
        await caller.call_all(["/short"] * 20, deadline_s=0.4)

    reasons = {rejection.reason for rejection in caller.rejections}
    assert reasons == {RejectionReason.DEADLINE_UNREACHABLE}
    assert len(caller.started_paths) == 6
    assert trio.current_time() - started_at == pytest.approx(0.302, abs=0.02)
    assert all(rejection.retry_after_s for rejection in caller.rejections)


async def test_a_request_that_would_wait_too_long_is_rejected_at_once(
    autojump_clock: MockClock,
) -> None:
    caller = make_caller(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.call, "/short", SHORT_S, 5.0)
        await trio.sleep(0.01)
        request = WorkRequest(
            method="GET", path="/short", deadline=5.0, max_wait_s=0.02
        )
        with pytest.raises(RequestRejectedError, match="wait_too_long"):
            await caller.admission.acquire(request)
