"""Demand that rises to four times its level within two seconds."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_bench.experiments.baselines import AimdLimit
from oleanderweir_bench.experiments.baselines import GradientLimit
from oleanderweir_bench.experiments.baselines import Unlimited
from oleanderweir_bench.experiments.demand import Demand
from oleanderweir_bench.experiments.job_end import JobEnd
from oleanderweir_bench.experiments.policy_set import PolicySet
from oleanderweir_bench.experiments.quantile import quantile
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.simulated_backend_server import BACKLOG
from oleanderweir_bench.experiments.simulated_service import SimulatedService
from oleanderweir_bench.experiments.speeds import spread_speeds
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


if TYPE_CHECKING:
    from oleanderweir_agent.limits import ConcurrencyLimit
    from oleanderweir_bench.experiments.job_record import JobRecord


SIZES = ((7, 4), (3, 4), (7, 3), (3, 3))
BASE_LOAD = 0.7
CREST_FACTOR = 4.0
CALM_S = 6.0
RISE_S = 2.0
CREST_S = 5.0
WORK_S = 0.1
DEADLINE_S = 1.0
SESSIONS = 200
REFUSAL_GOAL_S = 0.05
HEADINGS = (
    "backend servers x slots",
    "policies",
    "goodput / capacity",
    "p99 of admitted (s)",
    "admitted but late",
    "p99 of refusals (ms)",
    "refusals over 50 ms",
    "refused",
)


def make_aimd_limit(slots: int) -> ConcurrencyLimit:
    """Return the AIMD limit."""
    return AimdLimit(ceiling=slots)


def make_gradient_limit(slots: int) -> ConcurrencyLimit:
    """Return the gradient limit."""
    return GradientLimit(ceiling=slots)


def make_observed_limit(slots: int) -> ConcurrencyLimit:
    """Return the limit that follows the slots shown."""
    return ObservedSlotsLimit(ceiling=slots)


def make_no_limit(slots: int) -> ConcurrencyLimit:
    """Return no limit."""
    del slots
    return Unlimited()


CHOSEN = PolicySet(
    name="observed slots, shortest expected",
    make_limit=make_observed_limit,
    queue_policy=ShortestExpectedPolicy(),
)
POLICIES = (
    PolicySet(name="no limit", make_limit=make_no_limit, is_limited=False),
    PolicySet(name="fixed, FIFO"),
    PolicySet(name="AIMD, FIFO", make_limit=make_aimd_limit),
    PolicySet(name="gradient, FIFO", make_limit=make_gradient_limit),
    PolicySet(name="fixed, shortest expected", queue_policy=ShortestExpectedPolicy()),
    CHOSEN,
)


@attrs.define(kw_only=True)
class CrestExperiment:
    """
    A crest of four times the demand for each size and each set of policies.

    The crest is measured from the moment at which demand passes the capacity to
    that at which it falls again. ``true_slots_share`` makes the backend servers
    smaller than the tickets say.
    """

    seed: int
    true_slots_share: float = 1.0
    backlog: int = BACKLOG
    calm_s: float = CALM_S
    crest_s: float = CREST_S

    def run(self) -> ResultTable:
        """Return a row for each size and set of policies."""
        table = ResultTable(
            title=f"Crest x{CREST_FACTOR:g} in {RISE_S:g} s, "
            f"true slots {self.true_slots_share:.0%}, backlog {self.backlog}, "
            f"seed {self.seed}",
            headings=HEADINGS,
        )
        for number, slots in SIZES:
            for policies in POLICIES:
                self.add_row(table, number, slots, policies)
        return table

    def add_row(
        self, table: ResultTable, number: int, slots: int, policies: PolicySet
    ) -> None:
        """Run one crest and add its row."""

        async def run_crest() -> SimulatedService:
            return await self.run_crest(number, slots, policies)

        service = run_in_virtual_time(run_crest, seed=self.seed)
        begin = self.calm_s + RISE_S * (1.0 / BASE_LOAD - 1.0) / (CREST_FACTOR - 1.0)
        end = self.calm_s + RISE_S + self.crest_s
        records = [
            record for record in service.records if begin <= record.job.arrived_at < end
        ]
        answered = [
            record
            for record in service.records
            if record.end is JobEnd.ANSWERED and begin <= record.ended_at < end
        ]
        work_s = sum(record.job.work_s for record in answered)
        goodput = work_s / (service.capacity * (end - begin))
        table.add(f"{number} x {slots}", policies.name, *self.cells(goodput, records))

    def cells(self, goodput: float, records: list[JobRecord]) -> list[str]:
        """Return the figures of one row."""
        refusals = [r.latency_s for r in records if r.end is JobEnd.REFUSED]
        admitted = [r for r in records if r.end is not JobEnd.REFUSED]
        late = sum(record.end is JobEnd.LATE for record in admitted)
        slow = sum(latency_s > REFUSAL_GOAL_S for latency_s in refusals)
        return [
            f"{goodput:.1%}",
            f"{quantile((r.latency_s for r in admitted), 0.99):.3f}",
            f"{late / max(1, len(admitted)):.2%}",
            f"{quantile(refusals, 0.99) * 1000:.1f}",
            f"{slow / max(1, len(refusals)):.2%}",
            f"{len(refusals) / max(1, len(records)):.1%}",
        ]

    async def run_crest(
        self, number: int, slots: int, policies: PolicySet
    ) -> SimulatedService:
        """Send calm demand, the crest, and calm demand again."""
        source = random.Random(self.seed)
        service = SimulatedService(
            policies=policies,
            speeds=spread_speeds(number),
            slots=slots,
            true_slots=max(1, round(slots * self.true_slots_share)),
            backlog=self.backlog,
            random=random.Random(source.random()),
        )
        base_rate = BASE_LOAD * service.capacity / WORK_S

        def rate(time_s: float) -> float:
            risen = min(1.0, max(0.0, (time_s - self.calm_s) / RISE_S))
            if time_s >= self.calm_s + RISE_S + self.crest_s:
                risen = 0.0
            return base_rate * (1.0 + (CREST_FACTOR - 1.0) * risen)

        demand = Demand(
            random=random.Random(source.random()),
            rate=rate,
            highest_rate=base_rate * CREST_FACTOR,
            deadline_s=DEADLINE_S,
            work_s=WORK_S,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.exchange_reports)
            service.open_session()
            nursery.start_soon(self.open_sessions, service)
            await demand.send_for(service, self.calm_s + RISE_S + self.crest_s + 1.0)
            nursery.cancel_scope.cancel()
        return service

    async def open_sessions(self, service: SimulatedService) -> None:
        """Open the sessions during the first half of the calm."""
        await service.open_sessions(SESSIONS, over_s=self.calm_s / 2)
