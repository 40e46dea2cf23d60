"""An agent in virtual time around the real decisions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_bench.experiments.job_end import JobEnd
from oleanderweir_bench.experiments.job_record import JobRecord
from oleanderweir_bench.experiments.simulated_backend_server import RETRY_AFTER_S
from oleanderweir_bench.experiments.simulated_backend_server import SimulatedShedError


if TYPE_CHECKING:
    from oleanderweir_agent.load import LoadReporter
    from oleanderweir_agent.load import ServiceGroup
    from oleanderweir_agent.queueing import Admission
    from oleanderweir_agent.queueing import Permit
    from oleanderweir_bench.experiments.job import Job
    from oleanderweir_bench.experiments.simulated_backend_server import (
        SimulatedBackendServer,
    )


ONE_WAY_S = 0.0015
MAX_OFFERS = 2


@attrs.define(kw_only=True, eq=False)
class SimulatedAgent:
    """
    An agent that serves jobs through the real admission, relay choice and reports.

    ``peers`` holds the agents of the service by name, this one included.
    """

    backend_server: SimulatedBackendServer
    admission: Admission
    reporter: LoadReporter
    group: ServiceGroup
    relays: bool
    peers: dict[str, SimulatedAgent]

    async def serve(self, job: Job) -> JobRecord:
        """Run a job here or at a peer, or refuse it."""
        tried: set[str] = set()
        end = None
        own_wait_s = self.own_wait_s(job)
        if own_wait_s > 0.0:
            end = await self.offer(job, tried=tried, own_wait_s=own_wait_s)
        is_relayed = end is not None
        if end is None:
            end = await self.run(self.make_request(job), job)
        while end is None and len(tried) < MAX_OFFERS:
            offered = len(tried)
            end = await self.offer(job, tried=tried, own_wait_s=math.inf)
            is_relayed = end is not None
            if len(tried) == offered:
                break
        return JobRecord(
            job=job,
            end=end or JobEnd.REFUSED,
            ended_at=trio.current_time(),
            is_relayed=is_relayed,
        )

    def make_request(self, job: Job, *, max_wait_s: float = math.inf) -> WorkRequest:
        """Return what admission is told of a job."""
        return WorkRequest(
            method="GET", path=job.path, deadline=job.deadline, max_wait_s=max_wait_s
        )

    def own_wait_s(self, job: Job) -> float:
        """Return the wait that a job has to expect here."""
        return self.admission.forecast_wait_s(self.make_request(job))

    async def offer(
        self, job: Job, *, tried: set[str], own_wait_s: float
    ) -> JobEnd | None:
        """Offer a job to a peer; return None if none takes it."""
        if not self.relays:
            return None
        expected_s = self.admission.service_times.expected_s(
            self.make_request(job).route
        )
        name = self.group.choose_peer(
            exclude=tried,
            is_long=self.admission.service_times.is_long(expected_s),
            own_wait_s=own_wait_s,
        )
        if name is None:
            return None
        tried.add(name)
        await trio.sleep(ONE_WAY_S)
        request = self.make_request(job, max_wait_s=own_wait_s)
        end = await self.peers[name].run(request, job)
        await trio.sleep(ONE_WAY_S)
        return end

    async def run(self, request: WorkRequest, job: Job) -> JobEnd | None:
        """Run a job at the own backend server; return None if it was refused."""
        try:
            async with self.admission.admit(request) as permit:
                permit.outcome(WorkResult.TIMED_OUT)
                with trio.move_on_at(job.deadline):
                    return await self.run_admitted(permit, job)
                return JobEnd.LATE
        except RequestRejectedError:
            return None

    async def run_admitted(self, permit: Permit, job: Job) -> JobEnd | None:
        """Run a job that holds a slot; return None if the backend server shed it."""
        try:
            await self.backend_server.run(job.work_s)
        except SimulatedShedError:
            permit.outcome(WorkResult.SHED, retry_after_s=RETRY_AFTER_S)
            return None
        permit.outcome(WorkResult.SUCCEEDED)
        return JobEnd.ANSWERED
