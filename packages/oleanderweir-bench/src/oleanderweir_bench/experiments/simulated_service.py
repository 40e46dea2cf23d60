"""A service of several agents in virtual time."""

from __future__ import annotations

import random
import sys
from functools import partial
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.copies import CopyPolicy
from oleanderweir_agent.load import REPORT_INTERVAL_S
from oleanderweir_agent.load import LoadReporter
from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import RelayPolicy
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_agent.queueing import Admission
from oleanderweir_bench.experiments.simulated_agent import ONE_WAY_DELAY_S
from oleanderweir_bench.experiments.simulated_agent import SimulatedAgent
from oleanderweir_bench.experiments.simulated_backend_server import BACKLOG
from oleanderweir_bench.experiments.simulated_backend_server import (
    SimulatedBackendServer,
)
from oleanderweir_bench.experiments.simulated_configuration import SERVICE
from oleanderweir_bench.experiments.simulated_configuration import (
    SimulatedConfiguration,
)


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.load import LoadReport
    from oleanderweir_bench.experiments.job import Job
    from oleanderweir_bench.experiments.job_record import JobRecord
    from oleanderweir_bench.experiments.policy_set import PolicySet


@attrs.define(kw_only=True, eq=False)
class SimulatedService:
    """
    Agents with backend servers of the given speeds, and the sessions on them.

    ``slots`` is the number in the tickets; ``true_slots`` is the number that the
    backend servers really have, which may be lower.
    """

    policies: PolicySet
    speeds: Sequence[float]
    slots: int
    random: random.Random
    true_slots: int | None = None
    backlog: int = BACKLOG
    agents: list[SimulatedAgent] = attrs.field(factory=list)
    sessions: list[SimulatedAgent] = attrs.field(factory=list)
    records: list[JobRecord] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        peers: dict[str, SimulatedAgent] = {}
        members = frozenset(f"b{index}" for index in range(len(self.speeds)))
        for index, speed in enumerate(self.speeds):
            agent = self.make_agent(f"b{index}", speed, peers, members)
            peers[agent.reporter.name] = agent
            self.agents.append(agent)
        for agent in self.agents:
            self.deliver(agent.reporter.report())

    def make_agent(
        self,
        name: str,
        speed: float,
        peers: dict[str, SimulatedAgent],
        members: frozenset[str],
    ) -> SimulatedAgent:
        """Return one agent with its backend server."""
        admission = Admission(
            slots=self.slots if self.policies.is_limited else sys.maxsize,
            limiter=self.policies.make_limit(self.slots),
            policy=self.policies.queue_policy,
        )
        group = ServiceGroup(
            own_name=name,
            table=LoadTable(members=members),
            chooser=self.policies.make_chooser(random.Random(self.random.random())),
        )
        relay = RelayPolicy(admission=admission, group=group)
        copies = CopyPolicy(
            service_name=SERVICE,
            configuration=SimulatedConfiguration(
                names=sorted(members), max_copy_share=self.policies.max_copy_share
            ),
            admission=admission,
            group=group,
        )
        return SimulatedAgent(
            backend_server=SimulatedBackendServer(
                name=name,
                slots=self.true_slots or self.slots,
                speed=speed,
                backlog=self.backlog,
            ),
            admission=admission,
            reporter=LoadReporter(name=name, incarnation=1, admission=admission),
            group=group,
            relay=relay if self.policies.relays else None,
            peers=peers,
            copies=copies if self.policies.max_copy_share > 0.0 else None,
        )

    @property
    def capacity(self) -> float:
        """The work that the backend servers can do, in seconds per second."""
        return sum(
            agent.backend_server.slots * agent.backend_server.speed
            for agent in self.agents
        )

    def start(self, nursery: trio.Nursery, *, sessions: int, over_s: float) -> None:
        """
        Start to exchange load reports, and to open sessions within ``over_s`` seconds.

        One further session is opened at once, so that requests can be served.
        """
        nursery.start_soon(self.exchange_reports)
        self.open_session()
        nursery.start_soon(partial(self.open_sessions, sessions, over_s=over_s))

    def open_session(self) -> None:
        """Open a session at the agent that a random agent chooses."""
        entry_agent = self.random.choice(self.agents)
        name = entry_agent.group.choose_backend()
        assert name is not None
        session_agent = entry_agent.peers[name]
        session_agent.reporter.sessions += 1
        self.sessions.append(session_agent)

    async def open_sessions(self, number: int, *, over_s: float) -> None:
        """Open sessions at equal intervals within ``over_s`` seconds."""
        for _ in range(number):
            self.open_session()
            await trio.sleep(over_s / number)

    async def exchange_reports(self) -> None:
        """Send the load reports of all agents until cancelled."""
        async with trio.open_nursery() as nursery:
            for agent in self.agents:
                nursery.start_soon(self.send_reports, agent)

    async def send_reports(self, agent: SimulatedAgent) -> None:
        """Send the load reports of one agent until cancelled."""
        await trio.sleep(self.random.uniform(0.0, REPORT_INTERVAL_S))
        while True:
            report = agent.reporter.report()
            await trio.sleep(ONE_WAY_DELAY_S)
            self.deliver(report)
            await trio.sleep(REPORT_INTERVAL_S - ONE_WAY_DELAY_S)

    def deliver(self, report: LoadReport) -> None:
        """Merge a load report into the tables of all agents."""
        for agent in self.agents:
            agent.group.table.merge(report)

    async def serve(self, job: Job) -> None:
        """Serve a job on a random session and record the result."""
        session_agent = self.random.choice(self.sessions)
        self.records.append(await session_agent.serve(job))

    def reset_measurement(self) -> None:
        """Reset the busy time of the backend servers."""
        for agent in self.agents:
            agent.backend_server.busy_s = 0.0
            agent.backend_server.measured_from = trio.current_time()
