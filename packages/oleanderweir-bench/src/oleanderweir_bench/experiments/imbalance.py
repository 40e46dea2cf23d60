"""The balance of load between backend servers of different speed."""

from __future__ import annotations

import random
import statistics
from functools import partial
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_bench.experiments.baselines import RandomChooser
from oleanderweir_bench.experiments.baselines import RoundRobinChooser
from oleanderweir_bench.experiments.baselines import TwoChoicesChooser
from oleanderweir_bench.experiments.demand import Demand
from oleanderweir_bench.experiments.job_outcome import JobOutcome
from oleanderweir_bench.experiments.policy_set import PolicySet
from oleanderweir_bench.experiments.quantile import quantile
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.service_size import SERVICE_SIZES
from oleanderweir_bench.experiments.service_size import ServiceSize
from oleanderweir_bench.experiments.simulated_service import SimulatedService
from oleanderweir_bench.experiments.speeds import geometric_speeds
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


if TYPE_CHECKING:
    from oleanderweir_agent.load import BackendChooser


LOAD = 0.7
WORK_S = 0.1
DEADLINE_S = 10.0
WARM_UP_S = 20.0
MEASURED_S = 60.0
SESSIONS = 300
HEADINGS = (
    "backend servers x slots",
    "policies",
    "max / mean of use",
    "use from slowest to fastest",
    "relayed",
    "p99 (ms)",
    "not answered",
)


def make_random_chooser(source: random.Random) -> BackendChooser:
    """Return a random chooser."""
    return RandomChooser(random=source)


def make_round_robin_chooser(source: random.Random) -> BackendChooser:
    """Return a round-robin chooser with a random start."""
    return RoundRobinChooser(position=source.randrange(1000))


def make_two_choices_chooser(source: random.Random) -> BackendChooser:
    """Return a chooser of the better of two random candidates."""
    return TwoChoicesChooser(random=source)


QUEUE_POLICY = ShortestExpectedPolicy()
AGENT_POLICIES = PolicySet(name="least wait, relay", queue_policy=QUEUE_POLICY)
POLICIES = (
    PolicySet(
        name="random, no relay",
        make_chooser=make_random_chooser,
        queue_policy=QUEUE_POLICY,
        relays=False,
    ),
    PolicySet(
        name="round-robin, no relay",
        make_chooser=make_round_robin_chooser,
        queue_policy=QUEUE_POLICY,
        relays=False,
    ),
    PolicySet(
        name="random, relay",
        make_chooser=make_random_chooser,
        queue_policy=QUEUE_POLICY,
    ),
    PolicySet(
        name="round-robin, relay",
        make_chooser=make_round_robin_chooser,
        queue_policy=QUEUE_POLICY,
    ),
    PolicySet(
        name="two choices, relay",
        make_chooser=make_two_choices_chooser,
        queue_policy=QUEUE_POLICY,
    ),
    PolicySet(name="least wait, no relay", queue_policy=QUEUE_POLICY, relays=False),
    AGENT_POLICIES,
)


@attrs.define(kw_only=True)
class ImbalanceExperiment:
    """The use of slots of backend servers whose speeds differ by a factor of 4."""

    seed: int
    warm_up_s: float = WARM_UP_S
    measured_s: float = MEASURED_S

    def run(self) -> ResultTable:
        """Return a row for each size and set of policies."""
        table = ResultTable(
            title=f"Use of backend servers of 4x differing speed, load {LOAD:.0%}, "
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
        """Run one simulation and add its row."""
        service = run_in_virtual_time(
            partial(self.run_steady, size, policies), seed=self.seed
        )
        slot_use = [
            agent.backend_server.busy_s / (size.slots * self.measured_s)
            for agent in service.agents
        ]
        records = [r for r in service.records if r.job.arrived_at >= self.warm_up_s]
        answered = [r for r in records if r.outcome is JobOutcome.ANSWERED]
        relayed = sum(record.is_relayed for record in records)
        table.add(
            str(size),
            policies.name,
            f"{max(slot_use) / statistics.fmean(slot_use):.2f}",
            " ".join(f"{share:.2f}" for share in slot_use),
            f"{relayed / len(records):.1%}",
            f"{quantile((r.latency_s for r in answered), 0.99) * 1000:.0f}",
            f"{1.0 - len(answered) / len(records):.2%}",
        )

    async def run_steady(
        self, size: ServiceSize, policies: PolicySet
    ) -> SimulatedService:
        """Send demand at a constant rate; measure the use of slots after a warm-up."""
        source = random.Random(self.seed)
        service = SimulatedService(
            policies=policies,
            speeds=geometric_speeds(size.server_count),
            slots=size.slots,
            random=random.Random(source.random()),
        )
        rate = LOAD * service.capacity / WORK_S
        demand = Demand(
            random=random.Random(source.random()),
            rate=lambda time_s: rate,
            peak_rate=rate,
            deadline_s=DEADLINE_S,
            work_s=WORK_S,
        )
        async with trio.open_nursery() as nursery:
            # The sessions open during the first half of the warm-up.
            service.start(nursery, sessions=SESSIONS, over_s=self.warm_up_s / 2)
            nursery.start_soon(
                demand.send_requests, service, self.warm_up_s + self.measured_s
            )
            await trio.sleep(self.warm_up_s)
            service.reset_measurement()
            await trio.sleep(self.measured_s)
            nursery.cancel_scope.cancel()
        return service
