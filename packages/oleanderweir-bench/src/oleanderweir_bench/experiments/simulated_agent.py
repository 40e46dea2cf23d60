"""An agent in virtual time that runs the real admission and relay code."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.copies import AttemptPlace
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_bench.experiments.copied_job import CopiedJob
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.job_record import JobRecord
from oleanderweir_bench.experiments.simulated_backend_server import RETRY_AFTER_S
from oleanderweir_bench.experiments.simulated_backend_server import (
    SimulatedFailureError,
)
from oleanderweir_bench.experiments.simulated_backend_server import SimulatedShedError


if TYPE_CHECKING:
    from oleanderweir_agent.copies import CopyPolicy
    from oleanderweir_agent.load import LoadReporter
    from oleanderweir_agent.load import PeerOffer
    from oleanderweir_agent.load import RelayPolicy
    from oleanderweir_agent.load import ServiceGroup
    from oleanderweir_agent.queueing import Admission
    from oleanderweir_agent.queueing import Permit
    from oleanderweir_bench.experiments.job import Job
    from oleanderweir_bench.experiments.simulated_backend_server import (
        SimulatedBackendServer,
    )


ONE_WAY_DELAY_S = 0.0015


@attrs.define(kw_only=True, eq=False)
class SimulatedAgent:
    """
    An agent that serves jobs with the real admission, relay policy and load reports.

    ``peers`` holds all agents of the service by name, including this one. Without a
    ``relay`` policy it relays no jobs, without ``copies`` it sends no second copies.
    """

    backend_server: SimulatedBackendServer
    admission: Admission
    reporter: LoadReporter
    group: ServiceGroup
    relay: RelayPolicy | None
    peers: dict[str, SimulatedAgent]
    copies: CopyPolicy | None = None

    async def serve(self, job: Job) -> JobRecord:
        """Run a job locally or at a peer, or reject it."""
        request = WorkRequest(method="GET", path=job.path, deadline=job.deadline)
        place = AttemptPlace()
        if self.copies is None:
            outcome = await self.serve_once(request, job, place)
        else:
            runs = CopiedJob(agent=self, request=request, job=job, place=place)
            outcome = await runs.serve(self.copies)
        return JobRecord(
            job=job,
            outcome=outcome,
            ended_at=trio.current_time(),
            is_relayed=place.peer is not None,
        )

    async def serve_once(
        self, request: WorkRequest, job: Job, place: AttemptPlace
    ) -> JobOutcome:
        """Run a job once, locally or at a peer, or reject it."""
        if self.relay is None:
            return await self.serve_locally(request, job)
        return await self.serve_in_group(self.relay, request, job, place)

    async def serve_locally(self, request: WorkRequest, job: Job) -> JobOutcome:
        """Run a job locally or reject it."""
        try:
            return await self.run(request, job)
        except RequestRejectedError:
            return JobOutcome.REJECTED

    async def serve_in_group(
        self,
        relay: RelayPolicy,
        request: WorkRequest,
        job: Job,
        place: AttemptPlace,
    ) -> JobOutcome:
        """Run a job locally or at a peer, and keep ``place`` up to date."""
        while True:
            offer = relay.offer_before_waiting(request, avoided=place.avoided)
            outcome = await self.relay_to_peer(offer, job, place) if offer else None
            if outcome is not None:
                return outcome
            try:
                return await self.run(relay.with_queue_timeout(request), job)
            except RequestRejectedError as rejection:
                if rejection.reason is not RejectionReason.QUEUE_TIMEOUT:
                    return await self.serve_rejected(relay, request, job, place)
            request = attrs.evolve(request, arrived_at=job.arrived_at)

    async def serve_rejected(
        self,
        relay: RelayPolicy,
        request: WorkRequest,
        job: Job,
        place: AttemptPlace,
    ) -> JobOutcome:
        """Relay a locally rejected job to the peers in turn until one accepts it."""
        tried: set[str] = set()
        while offer := relay.offer_rejected(
            request, tried=tried, avoided=place.avoided
        ):
            tried.add(offer.peer)
            outcome = await self.relay_to_peer(offer, job, place)
            if outcome is not None:
                return outcome
        return JobOutcome.REJECTED

    async def relay_to_peer(
        self, offer: PeerOffer, job: Job, place: AttemptPlace
    ) -> JobOutcome | None:
        """Relay a job to a peer; return None if the peer rejects it."""
        place.peer = offer.peer
        await self.sleep_one_way()
        try:
            return await self.peers[offer.peer].run(offer.request, job)
        except RequestRejectedError:
            place.peer = None
            return None
        finally:
            await self.sleep_one_way()

    async def sleep_one_way(self) -> None:
        """Wait while a message passes between two agents."""
        await trio.sleep(ONE_WAY_DELAY_S)

    async def run(self, request: WorkRequest, job: Job) -> JobOutcome:
        """Run a job locally; raise ``RequestRejectedError`` if it is rejected."""
        async with self.admission.admit(request) as permit:
            permit.record_result(WorkResult.TIMED_OUT)
            with trio.move_on_at(job.deadline):
                return await self.run_admitted(permit, job)
            return JobOutcome.LATE

    async def run_admitted(self, permit: Permit, job: Job) -> JobOutcome:
        """Run a job that has been admitted."""
        try:
            await self.backend_server.run(job.work_s)
        except SimulatedShedError:
            permit.record_result(WorkResult.SHED, retry_after_s=RETRY_AFTER_S)
            raise RequestRejectedError(reason=RejectionReason.BACKEND_SHED) from None
        except SimulatedFailureError:
            permit.record_result(WorkResult.FAILED)
            return JobOutcome.FAILED
        permit.record_result(WorkResult.SUCCEEDED)
        return JobOutcome.ANSWERED
