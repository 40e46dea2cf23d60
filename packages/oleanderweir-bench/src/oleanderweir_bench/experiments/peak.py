"""A load peak: demand rises to four times its level within two seconds."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_bench.experiments.baselines import AimdLimit
from oleanderweir_bench.experiments.baselines import GradientLimit
from oleanderweir_bench.experiments.baselines import Unlimited
from oleanderweir_bench.experiments.demand import Demand
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.policy_set import PolicySet
from oleanderweir_bench.experiments.quantile import quantile
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.service_size import SERVICE_SIZES
from oleanderweir_bench.experiments.service_size import ServiceSize
from oleanderweir_bench.experiments.simulated_backend_server import BACKLOG
from oleanderweir_bench.experiments.simulated_service import SimulatedService
from oleanderweir_bench.experiments.speeds import geometric_speeds
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


if TYPE_CHECKING:
    from oleanderweir_agent.limits import ConcurrencyLimit
    from oleanderweir_bench.experiments.job_record import JobRecord


BASE_LOAD = 0.7
PEAK_FACTOR = 4.0
BASE_LOAD_S = 6.0
RISE_S = 2.0
PEAK_S = 5.0
WORK_S = 0.1
DEADLINE_S = 1.0
SESSIONS = 200
REJECTION_GOAL_S = 0.05
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
    """Return an AIMD limit."""
    return AimdLimit(ceiling=slots)


def make_gradient_limit(slots: int) -> ConcurrencyLimit:
    """Return a gradient limit."""
    return GradientLimit(ceiling=slots)


def make_observed_limit(slots: int) -> ConcurrencyLimit:
    """Return a limit that follows the observed slots."""
    return ObservedSlotsLimit(ceiling=slots)


def make_no_limit(slots: int) -> ConcurrencyLimit:
    """Return a limit that admits every request."""
    del slots
    return Unlimited()


AGENT_POLICIES = PolicySet(
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
    AGENT_POLICIES,
)


@attrs.define(kw_only=True)
class PeakExperiment:
    """
    A peak of four times the demand for each size and each set of policies.

    The measurement begins when demand exceeds the capacity and ends when it falls
    again. ``true_slots_share`` is the share of the slots in the tickets that the
    backend servers really have.
    """

    seed: int
    true_slots_share: float = 1.0
    backlog: int = BACKLOG
    base_load_s: float = BASE_LOAD_S
    peak_s: float = PEAK_S

    def run(self) -> ResultTable:
        """Return a row for each size and set of policies."""
        table = ResultTable(
            title=f"Crest x{PEAK_FACTOR:g} in {RISE_S:g} s, "
            f"true slots {self.true_slots_share:.0%}, backlog {self.backlog}, "
            f"seed {self.seed}",
            headings=HEADINGS,
        )
        for size in SERVICE_SIZES:
            for policies in POLICIES:
                self.add_row(table, size, policies)
        return table

    def add_row(
        self, table: ResultTable, size: ServiceSize, policies: PolicySet
    ) -> None:
        """Run one load peak and add its row."""
        service = run_in_virtual_time(
            partial(self.run_peak, size, policies), seed=self.seed
        )
        measured_from = self.base_load_s + RISE_S * (1.0 / BASE_LOAD - 1.0) / (
            PEAK_FACTOR - 1.0
        )
        measured_until = self.base_load_s + RISE_S + self.peak_s
        records = [
            record
            for record in service.records
            if measured_from <= record.job.arrived_at < measured_until
        ]
        answered = [
            record
            for record in service.records
            if record.outcome is JobOutcome.ANSWERED
            and measured_from <= record.ended_at < measured_until
        ]
        work_s = sum(record.job.work_s for record in answered)
        goodput = work_s / (service.capacity * (measured_until - measured_from))
        table.add(str(size), policies.name, *self.cells(goodput, records))

    def cells(self, goodput: float, records: list[JobRecord]) -> list[str]:
        """Return the measured values of one row."""
        rejection_latencies_s = [
            r.latency_s for r in records if r.outcome is JobOutcome.REJECTED
        ]
        admitted = [r for r in records if r.outcome is not JobOutcome.REJECTED]
        late_count = sum(record.outcome is JobOutcome.LATE for record in admitted)
        slow_count = sum(
            latency_s > REJECTION_GOAL_S for latency_s in rejection_latencies_s
        )
        return [
            f"{goodput:.1%}",
            f"{quantile((r.latency_s for r in admitted), 0.99):.3f}",
            f"{late_count / max(1, len(admitted)):.2%}",
            f"{quantile(rejection_latencies_s, 0.99) * 1000:.1f}",
            f"{slow_count / max(1, len(rejection_latencies_s)):.2%}",
            f"{len(rejection_latencies_s) / max(1, len(records)):.1%}",
        ]

    async def run_peak(
        self, size: ServiceSize, policies: PolicySet
    ) -> SimulatedService:
        """Send demand at the base load, at the peak, and at the base load again."""
        source = random.Random(self.seed)
        service = SimulatedService(
            policies=policies,
            speeds=geometric_speeds(size.server_count),
            slots=size.slots,
            true_slots=max(1, round(size.slots * self.true_slots_share)),
            backlog=self.backlog,
            random=random.Random(source.random()),
        )
        base_rate = BASE_LOAD * service.capacity / WORK_S

        def rate(time_s: float) -> float:
            rise_fraction = min(1.0, max(0.0, (time_s - self.base_load_s) / RISE_S))
            if time_s >= self.base_load_s + RISE_S + self.peak_s:
                rise_fraction = 0.0
            return base_rate * (1.0 + (PEAK_FACTOR - 1.0) * rise_fraction)

        demand = Demand(
            random=random.Random(source.random()),
            rate=rate,
            peak_rate=base_rate * PEAK_FACTOR,
            deadline_s=DEADLINE_S,
            work_s=WORK_S,
        )
        async with trio.open_nursery() as nursery:
            # The sessions open in the first half of the initial period at base load.
            service.start(nursery, sessions=SESSIONS, over_s=self.base_load_s / 2)
            await demand.send_requests(
                service, self.base_load_s + RISE_S + self.peak_s + 1.0
            )
            nursery.cancel_scope.cancel()
        return service
