"""Second copies of slow requests: latency and extra work by limit and load."""

from __future__ import annotations

import random
from functools import partial

import attrs
import trio

from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_bench.experiments.demand import Demand
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.policy_set import PolicySet
from oleanderweir_bench.experiments.quantile import quantile
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.service_size import ServiceSize
from oleanderweir_bench.experiments.simulated_service import SimulatedService
from oleanderweir_bench.experiments.speeds import geometric_speeds
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


SIZE = ServiceSize(server_count=7, slots=3)
LOADS = (0.5, 0.8, 0.95, 1.1)
MAX_COPY_SHARES = (0.0, 0.01, 0.02, 0.05, 0.1)
WORK_S = 0.05
DEADLINE_S = 1.0
WARM_UP_S = 5.0
MEASURED_S = 30.0
# Full queues make the simulation slow, and copies have died out there.
OVERLOAD_MEASURED_S = 5.0
SESSIONS = 200
HEADINGS = (
    "load",
    "limit of copies",
    "p50 (ms)",
    "p99 (ms)",
    "p99.9 (ms)",
    "copies",
    "extra work",
    "not answered",
)


@attrs.frozen(kw_only=True)
class Slowness:
    """
    Why some requests are slow, though their work is not.

    A share ``stall_share`` of the runs takes ``stall_factor`` times as long. After the
    warm-up, the middle backend server has only ``slow_speed_share`` of its speed.
    """

    name: str
    stall_share: float = 0.0
    stall_factor: float = 10.0
    slow_speed_share: float = 1.0


STALLS = Slowness(name="1% of the runs take 10 times as long", stall_share=0.01)
SLOW_SERVER = Slowness(
    name="one of 7 backend servers at a fifth of its speed", slow_speed_share=0.2
)


@attrs.define(kw_only=True)
class SecondCopiesExperiment:
    """
    Latencies of all answered requests, and the work of the backend servers.

    The load is a share of what the backend servers can do while none is slow. The extra
    work is their busy time compared with that without copies.
    """

    seed: int
    cause: Slowness
    loads: tuple[float, ...] = LOADS
    warm_up_s: float = WARM_UP_S
    measured_s: float = MEASURED_S

    def run(self) -> ResultTable:
        """Return a row for each load and limit."""
        table = ResultTable(
            title=f"{self.cause.name}, {SIZE}, seed {self.seed}", headings=HEADINGS
        )
        for load in self.loads:
            self.add_rows(table, load)
        return table

    def add_rows(self, table: ResultTable, load: float) -> None:
        """Add the rows of one load."""
        base_work_s = 0.0
        for max_copy_share in MAX_COPY_SHARES:
            service = self.simulate(load, max_copy_share)
            work_s = sum(agent.backend_server.busy_s for agent in service.agents)
            base_work_s = base_work_s or work_s
            cells = self.make_cells(service, extra_work=work_s / base_work_s - 1.0)
            table.add(f"{load:.0%}", f"{max_copy_share:.0%}", *cells)

    def simulate(self, load: float, max_copy_share: float) -> SimulatedService:
        """Run one simulation."""
        policies = PolicySet(
            name="",
            queue_policy=ShortestExpectedPolicy(),
            max_copy_share=max_copy_share,
        )
        run = partial(self.run_service, load, policies)
        return run_in_virtual_time(run, seed=self.seed)

    def make_cells(self, service: SimulatedService, *, extra_work: float) -> list[str]:
        """Return the measured cells of a row."""
        records = [r for r in service.records if r.job.arrived_at >= self.warm_up_s]
        answered = [r for r in records if r.outcome is JobOutcome.ANSWERED]
        latencies_s = [r.latency_s for r in answered]
        quantiles = [quantile(latencies_s, share) for share in (0.5, 0.99, 0.999)]
        policies = [agent.copies for agent in service.agents]
        copies = sum(
            policy.metrics.accepted for policy in policies if policy is not None
        )
        return [
            *(f"{latency_s * 1000:.0f}" for latency_s in quantiles),
            f"{copies / len(service.records):.2%}",
            f"{extra_work:+.1%}",
            f"{1.0 - len(answered) / len(records):.2%}",
        ]

    async def run_service(self, load: float, policies: PolicySet) -> SimulatedService:
        """Send demand at a constant rate and wait until it is completed."""
        cause = self.cause
        source = random.Random(self.seed)
        service = SimulatedService(
            policies=policies,
            speeds=geometric_speeds(SIZE.server_count),
            slots=SIZE.slots,
            random=random.Random(source.random()),
        )
        mean_work_s = WORK_S * (1.0 + cause.stall_share * (cause.stall_factor - 1.0))
        rate = load * service.capacity / mean_work_s
        demand = Demand(
            random=random.Random(source.random()),
            rate=lambda time_s: rate,
            peak_rate=rate,
            deadline_s=DEADLINE_S,
            work_s=WORK_S,
        )
        measured_s = self.measured_s
        if load >= 1.0:
            measured_s = min(measured_s, OVERLOAD_MEASURED_S)
        duration_s = self.warm_up_s + measured_s
        for agent in service.agents:
            agent.backend_server.stall_share = cause.stall_share
            agent.backend_server.stall_factor = cause.stall_factor
            agent.backend_server.random = random.Random(source.random())
        async with trio.open_nursery() as nursery:
            service.start(nursery, sessions=SESSIONS, over_s=self.warm_up_s / 2)
            nursery.start_soon(self.begin_measurement, service)
            await demand.send_requests(service, duration_s)
            nursery.cancel_scope.cancel()
        return service

    async def begin_measurement(self, service: SimulatedService) -> None:
        """Slow a backend server down after the warm-up, and measure the work."""
        await trio.sleep(self.warm_up_s)
        middle = service.agents[len(service.agents) // 2]
        middle.backend_server.speed *= self.cause.slow_speed_share
        service.reset_measurement()
