from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import attrs
import trio
from prometheus_client import CollectorRegistry

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir_agent.copies import CopyPolicy
from oleanderweir_agent.copies.copy_runner import CopyRunner
from oleanderweir_agent.drain import DrainState
from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import LoadReporter
from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import RelayPolicy
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_agent.peers.relay_client import RelayClient
from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
from oleanderweir_agent.peers.relay_server import RelayServer
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import FeedAdmission
from oleanderweir_agent.queueing import FifoPolicy
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.requests.local_runner import LocalRunner
from oleanderweir_agent.requests.request_dispatcher import RequestDispatcher
from oleanderweir_agent.requests.request_service import RequestService
from oleanderweir_agent.retries import RetryBudget
from oleanderweir_agent.retries import RetryPolicy
from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.memory_relay_connector import (
    MemoryRelayConnector,
)
from tests.oleanderweir_agent.fault_matrix.scripted_backend import ScriptedBackend
from tests.oleanderweir_agent.fault_matrix.scripted_connection import RUN_TIME_S


if TYPE_CHECKING:
    from oleanderweir.configuration import ConfigurationView
    from tests.oleanderweir_agent.fault_matrix.script import Script


SERVICE = "items"
PATH = "/reports"
SLOTS = 2
DRAIN_PERIOD_S = 600.0
DELAYS_S = {Fault.DELAY: 0.3, Fault.LATE: 2.1, Fault.FREEZE: 5.0}


@attrs.define(kw_only=True, eq=False)
class FixedConfiguration:
    """A configuration with two backend servers of one service."""

    names: tuple[str, ...] = ("a", "b")
    max_copy_share: float = 0.0

    def service(self, name: str) -> Service:
        address = SocketAddress(host="127.0.0.1", port=1)
        return Service(name=name, address=address, max_copy_share=self.max_copy_share)

    def backend_servers(self, service: str) -> list[BackendServer]:
        address = SocketAddress(host="127.0.0.1", port=1)
        return [
            BackendServer(
                name=name,
                service=service,
                availability_zone="z1",
                agent_address=address,
                peer_address=address,
                slots=SLOTS,
            )
            for name in self.names
        ]


@attrs.define(kw_only=True, eq=False)
class MatrixAgent:
    """The request path of one agent."""

    name: str
    cluster: Cluster
    drain: DrainState = attrs.field(factory=DrainState)
    admission: Admission = attrs.field(init=False)
    feed_admission: FeedAdmission = attrs.field(init=False)
    runner: LocalRunner = attrs.field(init=False)
    relay_server: RelayServer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.admission = Admission(
            slots=SLOTS,
            limiter=FixedLimit(limit=SLOTS),
            policy=FifoPolicy(),
            drain=self.drain,
        )
        self.feed_admission = FeedAdmission(connections=2, drain=self.drain)
        self.runner = LocalRunner(
            backend=ScriptedBackend(cluster=self.cluster, agent=self.name),
            admission=self.admission,
            feed_admission=self.feed_admission,
        )
        self.relay_server = RelayServer(
            service_name=SERVICE, runner=self.runner, codec=RelayMessageCodec()
        )

    @property
    def has_released_all(self) -> bool:
        """Whether no slot, queue entry or in-flight count remains."""
        remaining = (
            len(self.admission.queue.running),
            len(self.admission.queue.waiting),
            self.feed_admission.open_feeds,
            self.drain.in_flight,
        )
        return remaining == (0, 0, 0, 0)


@attrs.define(kw_only=True, eq=False)
class Cluster:
    """Two agents with their backend servers, the IDs of all runs, and the script."""

    script: Script
    nursery: trio.Nursery
    runs: list[str] = attrs.field(factory=list)
    run_started: trio.Event = attrs.field(factory=trio.Event)
    caller: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    configuration: FixedConfiguration = attrs.field(factory=FixedConfiguration)
    copy_policy: CopyPolicy = attrs.field(init=False)
    agents: dict[str, MatrixAgent] = attrs.field(init=False)
    service: RequestService = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.agents = {name: MatrixAgent(name=name, cluster=self) for name in "ab"}
        self.service = self.make_service()

    @property
    def has_run(self) -> bool:
        """Whether any backend server has started a request."""
        return bool(self.runs)

    def make_service(self) -> RequestService:
        """Return the request service of agent ``a``."""
        own = self.agents["a"]
        metrics = AgentMetrics(registry=CollectorRegistry())
        table = LoadTable(members=frozenset(self.agents))
        for agent in self.agents.values():
            reporter = LoadReporter(
                name=agent.name, incarnation=1, admission=agent.admission
            )
            table.merge(reporter.report())
        random_source = random.Random(1)
        group = ServiceGroup(
            own_name="a", table=table, chooser=LeastWaitChooser(random=random_source)
        )
        relay = RelayClient(
            service_name=SERVICE,
            configuration=cast("ConfigurationView", self.configuration),
            connector=MemoryRelayConnector(cluster=self, peer="b"),
            codec=RelayMessageCodec(),
        )
        dispatcher = RequestDispatcher(
            runner=own.runner,
            policy=RelayPolicy(admission=own.admission, group=group),
            relay=relay,
            metrics=metrics,
        )
        self.copy_policy = CopyPolicy(
            service_name=SERVICE,
            configuration=cast("ConfigurationView", self.configuration),
            admission=own.admission,
            group=group,
        )
        return RequestService(
            dispatcher=dispatcher,
            copies=CopyRunner(
                dispatcher=dispatcher, policy=self.copy_policy, relay=relay
            ),
            retry_policy=RetryPolicy(
                budget=RetryBudget(ratio=0.1), random=random_source
            ),
            request_metrics=own.admission.metrics,
            metrics=metrics,
        )

    def allow_copies(self, *, method: str) -> None:
        """Have the next request copied before the first run has answered."""
        self.configuration.max_copy_share = 1.0
        route = Route.of(method=method, path=PATH)
        for _ in range(20):
            self.copy_policy.delays.record(route, RUN_TIME_S / 2)

    async def apply_fault(self, fault: Fault | None, *, agent: str) -> None:
        """Apply a fault that does not close the connection."""
        await trio.lowlevel.checkpoint()
        if fault is Fault.CANCEL:
            self.caller.cancel()
        elif fault is Fault.DRAIN:
            self.agents[agent].drain.begin(drain_period_s=DRAIN_PERIOD_S)
        elif fault is Fault.CUT:
            await trio.sleep_forever()
        elif fault is not None:
            await trio.sleep(DELAYS_S[fault])
