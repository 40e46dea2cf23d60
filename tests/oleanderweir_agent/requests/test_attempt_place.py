from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import attrs
import pytest
import trio
from prometheus_client import CollectorRegistry

from oleanderweir_agent.copies import AttemptPlace
from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_agent.requests import Request
from oleanderweir_agent.requests.request_dispatcher import RequestDispatcher
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError
from tests.oleanderweir_agent.fault_matrix.recording_responder import RecordingResponder
from tests.oleanderweir_agent.load.relay_policies import REQUEST
from tests.oleanderweir_agent.load.relay_policies import make_relay_policy


if TYPE_CHECKING:
    from trio.testing import MockClock

    from oleanderweir_agent.queueing import WorkRequest
    from oleanderweir_agent.requests import Responder
    from oleanderweir_agent.requests.local_runner import LocalRunner


@attrs.define(kw_only=True, eq=False)
class FullRunner:
    """A runner whose queue is full, and a relay that records the places of offers."""

    place: AttemptPlace
    offers: list[tuple[str, str | None]] = attrs.field(factory=list)

    async def run_work(
        self, request: Request, responder: Responder, work: WorkRequest
    ) -> None:
        raise RequestRejectedError(reason=RejectionReason.QUEUE_FULL)

    async def offer(
        self, *, peer: str, request: Request, responder: Responder, max_wait_s: float
    ) -> None:
        self.offers.append((peer, self.place.peer))
        raise RequestRejectedError(reason=RejectionReason.PEER_REFUSED)


async def test_the_peer_of_a_copy_gets_no_offer_of_the_first_run(
    autojump_clock: MockClock,
) -> None:
    runner = FullRunner(place=AttemptPlace(avoided={"b", "d"}))
    policy = make_relay_policy()
    dispatcher = RequestDispatcher(
        runner=cast("LocalRunner", runner),
        policy=policy,
        relay=runner,
        metrics=AgentMetrics(registry=CollectorRegistry()),
    )
    now = trio.current_time()
    request = Request(
        request_id="request-1",
        method="GET",
        path="/short",
        headers=(),
        body=b"",
        arrived_at=now,
        deadline=now + 10.0,
    )

    async with policy.admission.admit(REQUEST):
        with pytest.raises(RequestRejectedError):
            await dispatcher.run_work(request, RecordingResponder(), runner.place)

    assert runner.offers
    assert set(runner.offers) == {("c", "c")}
    assert runner.place.peer is None
