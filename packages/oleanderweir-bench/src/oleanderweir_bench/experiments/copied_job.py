"""A simulated request that the agent's own code copies if it is slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.copies.copy_runner import CopyRunner
from oleanderweir_agent.requests import Request
from oleanderweir_agent.requests import ResponseHead
from oleanderweir_agent.retries import AttemptCount
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.null_responder import NullResponder


if TYPE_CHECKING:
    from oleanderweir_agent.copies import AttemptPlace
    from oleanderweir_agent.copies import CopyPolicy
    from oleanderweir_agent.queueing import WorkRequest
    from oleanderweir_agent.requests import Responder
    from oleanderweir_bench.experiments.job import Job
    from oleanderweir_bench.experiments.simulated_agent import SimulatedAgent


OK = 200
# There are no retries, so that the copies alone show.
MAX_ATTEMPTS = 2


@attrs.define(kw_only=True, eq=False)
class CopiedJob:
    """Runs a job and its copy on simulated backend servers, for ``CopyRunner``."""

    agent: SimulatedAgent
    request: WorkRequest
    job: Job
    place: AttemptPlace

    async def serve(self, policy: CopyPolicy) -> JobOutcome:
        """Run the job, and a copy of it if the policy says so."""
        runner = CopyRunner(dispatcher=self, policy=policy, relay=self)
        request = Request(
            request_id="",
            method=self.request.method,
            path=self.job.path,
            headers=(),
            body=b"",
            arrived_at=self.job.arrived_at,
            deadline=self.job.deadline,
        )
        attempts = AttemptCount(max_attempts=MAX_ATTEMPTS, count=1)
        try:
            await runner.run_work(request, NullResponder(), attempts)
        except RequestRejectedError:
            return JobOutcome.REJECTED
        except RequestFailedError as error:
            is_late = error.reason is FailureReason.DEADLINE_EXCEEDED
            return JobOutcome.LATE if is_late else JobOutcome.FAILED
        return JobOutcome.ANSWERED

    async def run_work(
        self, request: Request, responder: Responder, place: AttemptPlace
    ) -> None:
        """Run the job as if there were no copies."""
        self.place = place
        outcome = await self.agent.serve_once(self.request, self.job, place)
        await self.answer(outcome, responder)

    async def offer(
        self, *, peer: str, request: Request, responder: Responder, max_wait_s: float
    ) -> None:
        """Run the copy at a peer, as an offer that must not wait."""
        offered = attrs.evolve(self.request, is_relayed=True, max_wait_s=max_wait_s)
        await self.agent.sleep_one_way()
        outcome = await self.agent.peers[peer].run(offered, self.job)
        await self.agent.sleep_one_way()
        await self.answer(outcome, responder)

    async def answer(self, outcome: JobOutcome, responder: Responder) -> None:
        """Send an empty answer, or raise the error of a job without one."""
        await trio.lowlevel.checkpoint()
        if outcome is JobOutcome.REJECTED:
            raise RequestRejectedError(reason=RejectionReason.PEER_REFUSED)
        if outcome is JobOutcome.LATE:
            raise RequestFailedError(
                reason=FailureReason.DEADLINE_EXCEEDED, message="late"
            )
        if outcome is JobOutcome.FAILED:
            raise RequestFailedError(
                reason=FailureReason.BACKEND_LOST, message="failed"
            )
        await responder.send_head(ResponseHead(status=OK, headers=()))
        await responder.finish()
