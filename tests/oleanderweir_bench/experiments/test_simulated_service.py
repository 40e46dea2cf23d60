from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.experiments.demand import Demand
from oleanderweir_bench.experiments.imbalance import AGENT_POLICIES
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.simulated_service import SimulatedService
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


if TYPE_CHECKING:
    from oleanderweir_bench.experiments.simulated_agent import SimulatedAgent


DRAIN_AT_S = 5.0


def make_service() -> SimulatedService:
    return SimulatedService(
        policies=AGENT_POLICIES,
        speeds=[1.0, 1.0, 1.0],
        slots=4,
        random=random.Random(5),
    )


def make_demand() -> Demand:
    return Demand(
        random=random.Random(6),
        rate=lambda time_s: 50.0,
        peak_rate=50.0,
        deadline_s=5.0,
        work_s=0.1,
    )


async def run_with_one_failing() -> SimulatedService:
    service = make_service()
    service.agents[0].backend_server.is_broken = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.exchange_reports)
        for _ in range(60):
            service.open_session()
        await make_demand().send_requests(service, 20.0)
        nursery.cancel_scope.cancel()
    return service


def test_backend_server_that_fails_immediately_does_not_attract_work() -> None:
    service = run_in_virtual_time(run_with_one_failing, seed=1)

    outcomes = [record.outcome for record in service.records]
    # Five failures eject the backend server. Each ejection lasts twice as long as the
    # previous one, and one more failure follows each.
    assert outcomes.count(JobOutcome.FAILED) <= 5 + 4
    assert (
        outcomes.count(JobOutcome.ANSWERED) + outcomes.count(JobOutcome.FAILED)
        == len(outcomes)
        > 900
    )


async def drain_one_of_three() -> tuple[SimulatedService, SimulatedAgent, bool]:
    service = make_service()
    draining = service.agents[0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.exchange_reports)
        for _ in range(60):
            service.open_session()
        nursery.start_soon(make_demand().send_requests, service, 2 * DRAIN_AT_S)
        await trio.sleep(DRAIN_AT_S)
        draining.admission.drain.begin(drain_period_s=600.0)
        service.reset_measurement()
        is_finished = await draining.admission.drain.wait_finished()
        await trio.sleep(2 * DRAIN_AT_S)
        nursery.cancel_scope.cancel()
    return service, draining, is_finished


def test_draining_backend_server_gets_no_new_work_and_keeps_its_sessions() -> None:
    service, draining, is_finished = run_in_virtual_time(drain_one_of_three, seed=1)

    assert is_finished
    assert draining.reporter.sessions > 0
    # Only requests in flight at the start of the drain run: at most 0.3 s of work in
    # each of four slots.
    assert draining.backend_server.busy_s < 4 * 0.3
    assert {record.outcome for record in service.records} == {JobOutcome.ANSWERED}
