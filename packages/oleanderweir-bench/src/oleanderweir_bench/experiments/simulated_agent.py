"""An agent in virtual time around the real decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.job_record import JobRecord
from oleanderweir_bench.experiments.simulated_backend_server import RETRY_AFTER_S
from oleanderweir_bench.experiments.simulated_backend_server import (
    SimulatedFailureError,
)
from oleanderweir_bench.experiments.simulated_backend_server import SimulatedShedError


if TYPE_CHECKING:
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
    An agent that serves jobs through the real admission, relay choice and reports.

    ``peers`` holds the agents of the service by name, this one included. Without a
    ``relay`` policy every job stays here.
    """

    backend_server: SimulatedBackendServer
    admission: Admission
    reporter: LoadReporter
    group: ServiceGroup
    relay: RelayPolicy | None
    peers: dict[str, SimulatedAgent]

    async def serve(self, job: Job) -> JobRecord:
        """Run a job here or at a peer, or refuse it."""
        request = WorkRequest(method="GET", path=job.path, deadline=job.deadline)
        if self.relay is None:
            outcome, is_relayed = await self.serve_locally(request, job), False
        else:
            outcome, is_relayed = await self.serve_in_group(self.relay, request, job)
        return JobRecord(
            job=job,
            outcome=outcome,
            ended_at=trio.current_time(),
            is_relayed=is_relayed,
        )

    async def serve_locally(self, request: WorkRequest, job: Job) -> JobOutcome:
        """Run a job here or refuse it."""
        try:
            return await self.run(request, job)
        except RequestRejectedError:
            return JobOutcome.REFUSED

    async def serve_in_group(
        self, relay: RelayPolicy, request: WorkRequest, job: Job
    ) -> tuple[JobOutcome, bool]:
        """Run a job here or at a peer; tell whether it was at a peer."""
        while True:
            offer = relay.offer_before_waiting(request)
            outcome = await self.relay_to_peer(offer, job) if offer else None
            if outcome is not None:
                return outcome, True
            try:
                return await self.run(relay.with_queue_timeout(request), job), False
            except RequestRejectedError as rejection:
                if rejection.reason is not RejectionReason.QUEUE_TIMEOUT:
                    return await self.serve_rejected(relay, request, job)
            request = attrs.evolve(request, arrived_at=job.arrived_at)

    async def serve_rejected(
        self, relay: RelayPolicy, request: WorkRequest, job: Job
    ) -> tuple[JobOutcome, bool]:
        """Run a job that is refused here at a peer, or refuse it."""
        tried: set[str] = set()
        while offer := relay.offer_rejected(request, tried=tried):
            tried.add(offer.peer)
            outcome = await self.relay_to_peer(offer, job)
            if outcome is not None:
                return outcome, True
        return JobOutcome.REFUSED, False

    async def relay_to_peer(self, offer: PeerOffer, job: Job) -> JobOutcome | None:
        """Offer a job to a peer; return None if the peer refuses it."""
        await trio.sleep(ONE_WAY_DELAY_S)
        try:
            return await self.peers[offer.peer].run(offer.request, job)
        except RequestRejectedError:
            return None
        finally:
            await trio.sleep(ONE_WAY_DELAY_S)

    async def run(self, request: WorkRequest, job: Job) -> JobOutcome:
        """Run a job at the own backend server, unless it is refused."""
        async with self.admission.admit(request) as permit:
            permit.record_result(WorkResult.TIMED_OUT)
            with trio.move_on_at(job.deadline):
                return await self.run_admitted(permit, job)
            return JobOutcome.LATE

    async def run_admitted(self, permit: Permit, job: Job) -> JobOutcome:
        """Run a job that holds a slot."""
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
