"""Short requests beside stragglers that take fifty times as long."""

from __future__ import annotations

import random
from functools import partial

import attrs
import trio

from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_bench.experiments.baselines import ReservedSlotsPolicy
from oleanderweir_bench.experiments.demand import Demand
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.policy_set import PolicySet
from oleanderweir_bench.experiments.quantile import quantile
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.service_size import ServiceSize
from oleanderweir_bench.experiments.simulated_service import SimulatedService
from oleanderweir_bench.experiments.speeds import geometric_speeds
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


SIZES = (
    ServiceSize(server_count=7, slots=3),
    ServiceSize(server_count=3, slots=3),
)
LOAD = 0.7
WORK_S = 0.05
DEADLINE_S = 10.0
LONG_SHARE = 0.02
LONG_FACTOR = 50.0
WARM_UP_S = 20.0
MEASURED_S = 40.0
SESSIONS = 200
HEADINGS = (
    "backend servers x slots",
    "stragglers",
    "policies",
    "short p50 (ms)",
    "short p99 (ms)",
    "p99 / p99 without stragglers",
    "long p99 (s)",
    "not answered",
)
POLICIES = (
    PolicySet(name="FIFO, no relay", relays=False),
    PolicySet(name="FIFO, relay"),
    PolicySet(name="reserved slots, relay", queue_policy=ReservedSlotsPolicy()),
    PolicySet(
        name="shortest expected, no reserve, relay",
        queue_policy=ShortestExpectedPolicy(reserved_share=0.0),
    ),
    PolicySet(
        name="shortest expected with reserve, relay",
        queue_policy=ShortestExpectedPolicy(),
    ),
)


@attrs.frozen(kw_only=True)
class StragglerMix:
    """The share of long requests, and whether their path distinguishes them."""

    name: str
    long_share: float
    hides_long: bool = False


NO_STRAGGLERS = StragglerMix(name="none", long_share=0.0)
MIXES = (
    StragglerMix(name="by route", long_share=LONG_SHARE),
    StragglerMix(name="hidden", long_share=LONG_SHARE, hides_long=True),
)


@attrs.define(kw_only=True)
class StragglersExperiment:
    """
    The p99 latency of short requests with and without stragglers at the same load.

    The load is measured in seconds of work, so half of it is long requests in a mix
    with stragglers. The baseline is FIFO with relay and without stragglers.
    """

    seed: int

    def run(self) -> ResultTable:
        """Return a row for each size, mix and set of policies."""
        table = ResultTable(
            title=f"{LONG_SHARE:.0%} stragglers of {LONG_FACTOR:g} times the work, "
            f"load {LOAD:.0%}, seed {self.seed}",
            headings=HEADINGS,
        )
        for size in SIZES:
            self.add_rows(table, size)
        return table

    def add_rows(self, table: ResultTable, size: ServiceSize) -> None:
        """Add the rows of one size."""
        baseline_s = self.add_row(table, size, NO_STRAGGLERS, POLICIES[1])
        for mix in MIXES:
            for policies in POLICIES:
                self.add_row(table, size, mix, policies, baseline_s=baseline_s)

    def add_row(
        self,
        table: ResultTable,
        size: ServiceSize,
        mix: StragglerMix,
        policies: PolicySet,
        *,
        baseline_s: float | None = None,
    ) -> float:
        """Run one simulation, add its row and return the short p99 in seconds."""
        service = run_in_virtual_time(
            partial(self.run_mix, size, mix, policies), seed=self.seed
        )
        measured_from = WARM_UP_S
        records = [r for r in service.records if r.job.arrived_at >= measured_from]
        answered = [r for r in records if r.outcome is JobOutcome.ANSWERED]
        short = [r.latency_s for r in answered if not r.job.is_long]
        long = [r.latency_s for r in answered if r.job.is_long]
        p99_s = quantile(short, 0.99)
        table.add(
            str(size),
            mix.name,
            policies.name,
            f"{quantile(short, 0.5) * 1000:.0f}",
            f"{p99_s * 1000:.0f}",
            f"{p99_s / (baseline_s or p99_s):.2f}",
            f"{quantile(long, 0.99):.1f}",
            f"{1.0 - len(answered) / len(records):.2%}",
        )
        return p99_s

    async def run_mix(
        self, size: ServiceSize, mix: StragglerMix, policies: PolicySet
    ) -> SimulatedService:
        """Send demand at a constant rate and wait until it is completed."""
        source = random.Random(self.seed)
        service = SimulatedService(
            policies=policies,
            speeds=geometric_speeds(size.server_count),
            slots=size.slots,
            random=random.Random(source.random()),
        )
        mean_work_s = WORK_S * (1.0 + mix.long_share * (LONG_FACTOR - 1.0))
        rate = LOAD * service.capacity / mean_work_s
        demand = Demand(
            random=random.Random(source.random()),
            rate=lambda time_s: rate,
            peak_rate=rate,
            deadline_s=DEADLINE_S,
            work_s=WORK_S,
            long_share=mix.long_share,
            long_factor=LONG_FACTOR,
            hides_long=mix.hides_long,
        )
        async with trio.open_nursery() as nursery:
            # The sessions open during the first half of the warm-up.
            service.start(nursery, sessions=SESSIONS, over_s=WARM_UP_S / 2)
            await demand.send_requests(service, WARM_UP_S + MEASURED_S)
            nursery.cancel_scope.cancel()
        return service
