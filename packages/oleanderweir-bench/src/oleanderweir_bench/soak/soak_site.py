"""The real processes of a small deployment, surrounded by stand-ins."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.event_log import trace_flow
from oleanderweir.flows import describe_flow
from oleanderweir.flows import route_address
from oleanderweir_bench.packet_path import CallerStarter
from oleanderweir_bench.packet_path import EmulatedBackendServer
from oleanderweir_bench.packet_path import EmulatedCaller
from oleanderweir_bench.packet_path import EmulatedRouter
from oleanderweir_bench.packet_path import SiteResult
from oleanderweir_bench.packet_path import UploadingCaller
from oleanderweir_bench.packet_path import make_route
from oleanderweir_bench.packet_path.emulated_backend import OFFSET_SPACING
from oleanderweir_bench.soak.active_faults import ActiveFaults
from oleanderweir_bench.soak.extra_checks import ColdStartCheck
from oleanderweir_bench.soak.extra_checks import HedgeCheck
from oleanderweir_bench.soak.loopback_network import LoopbackNetwork
from oleanderweir_bench.soak.readiness_prober import ReadinessProber
from oleanderweir_bench.soak.soak_backend import SoakBackend
from oleanderweir_bench.soak.soak_process import SoakProcess
from oleanderweir_bench.soak.stall_watch import StallWatch
from oleanderweir_platform.settings import MAX_HEDGED_SHARE_VARIABLE
from oleanderweir_standins import StoreStandIn
from oleanderweir_standins import WireEndpointCodec
from oleanderweir_standins import write_settings


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_bench.processes import ProcessSupervisor
    from oleanderweir_bench.processes.output_line import OutputLine
    from oleanderweir_bench.soak.soak_plan import SoakPlan


PACKET_PORT = 8172
PEER_PORT = 7720
BACKEND_PORT = 8080
OUTBOUND_PORT = 8162
FEED = "feed"
ARCHIVE = "archive"
FEED_ROUTE = bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big")
# Leads to the archive at first; faults move it between the archive and the feed.
MOVING_ROUTE = bytes([198, 18, 0, 2]) + (443).to_bytes(2, "big")
# Every fourth caller uses the moving route.
MOVING_CALLER_INTERVAL = 4
# Without faults, a draining backend server gets no new flow after this time.
DRAIN_PROPAGATION_S = 3.0
# The check above applies only if no fault was active for this time before the drain.
FAULT_FREE_S = 4.0
# Without faults, evacuations and their ends are in force everywhere after this time.
EVACUATION_PROPAGATION_S = 5.0
# Backend servers are in these by turns, if the soak has evacuations.
ZONES = ("a", "b")
SLOW_OPENING_S = 0.15
# Backend servers with distinct answers to the same opening packet.
SEQUENCE_OFFSETS = 10
# Maximum number of flow traces in a report.
MAX_TRACES = 5


class SoakSite:
    """Starts balancers, agents, stand-ins and callers; faults act on its parts."""

    def __init__(
        self,
        *,
        plan: SoakPlan,
        nursery: trio.Nursery,
        supervisor: ProcessSupervisor,
        folder: Path,
        block: int,
    ) -> None:
        self.plan = plan
        self.nursery = nursery
        self.supervisor = supervisor
        self.folder = folder
        # Second octet of every address, so that soaks can run in parallel.
        self.block = block
        self.random_source = random.Random(plan.seed)
        self.result = SiteResult()
        self.codec = WireEndpointCodec()
        self.network = LoopbackNetwork(
            nursery=nursery, random_source=random.Random(plan.seed + 1)
        )
        self.store = StoreStandIn(nursery=nursery)
        self.router = EmulatedRouter()
        self.balancers: list[SoakProcess] = []
        self.backends: list[SoakBackend] = []
        self.allowed_services = {(FEED_ROUTE, FEED), (MOVING_ROUTE, ARCHIVE)}
        # Flows that were reset although a backend server held them.
        self.falsely_reset: list[FlowKey] = []
        # Flows whose request ran twice, each with the host of the second run.
        self.repeated: list[tuple[FlowKey, str]] = []
        # When routes and backend servers were published, in seconds of trio's clock.
        self.published_at = float("-inf")
        # When evacuations in force were ordered, by zone.
        self.evacuated_at: dict[str, float] = {}
        self.cold_starts = ColdStartCheck(extras=plan.extras)
        self.hedges = HedgeCheck(
            max_share=plan.extras.max_hedged_share, balancers=plan.balancers
        )
        # Requests that any of the backend servers has started.
        self.started_requests: set[tuple[FlowKey, int]] = set()
        self.active_faults = ActiveFaults()
        self.stall_watch = StallWatch()

    @property
    def processes(self) -> list[SoakProcess]:
        """All balancers and agents."""
        return [*self.balancers, *(backend.agent for backend in self.backends)]

    def host(self, group: int, number: int) -> str:
        """Return an address; balancers, servers and callers have separate groups."""
        return f"127.{self.block}.{group}.{number}"

    async def start(self) -> None:
        """Publish routes and backend servers, then start every process."""
        self.publish_routes(ARCHIVE)
        for number in range(1, self.plan.balancers + 1):
            host = self.host(1, number)
            balancer = await self._create_process(
                host, "oleanderweir_platform.balancer"
            )
            share = self.plan.extras.max_hedged_share
            balancer.environment[MAX_HEDGED_SHARE_VARIABLE] = str(share)
            self.balancers.append(balancer)
            if number <= self.plan.extras.slow_balancers:
                self.network.link_mbps[host] = self.plan.extras.link_mbps
        for number in range(1, self.plan.backends + 1):
            service = ARCHIVE if number == 1 else FEED
            await self._create_backend(number, service)
        self.published_at = trio.current_time()
        self.router.hosts = [process.host for process in self.balancers]
        for process in self.processes:
            self.write_settings(process)
            await process.start()
        prober = ReadinessProber(router=self.router, hosts=list(self.router.hosts))
        self.nursery.start_soon(prober.run)
        self.nursery.start_soon(self.cold_starts.read_delays.run)

    def start_callers(self) -> None:
        """Start callers that send requests until the soak ends."""
        extras = self.plan.extras
        for number in range(self.plan.callers):
            route = FEED_ROUTE if number % MOVING_CALLER_INTERVAL else MOVING_ROUTE
            self._create_caller_starter().start(
                self.host(100, number + 1),
                route=route,
                requests_per_flow=extras.requests_per_flow,
            )
        for number in range(extras.uploaders):
            self._create_caller_starter(UploadingCaller).start(
                self.host(101, number + 1), route=FEED_ROUTE
            )

    def _create_caller_starter(
        self, caller_type: type[EmulatedCaller] = EmulatedCaller
    ) -> CallerStarter:
        return CallerStarter(
            nursery=self.nursery,
            random_source=self.random_source,
            port=PACKET_PORT,
            network=self.network,
            router=self.router,
            codec=self.codec,
            result=self.result,
            holds_flow=self.holds_flow,
            on_false_reset=self.falsely_reset.append,
            caller_type=caller_type,
        )

    def publish_routes(self, moving_service: str) -> None:
        """Publish the routes, with the moving route leading to ``moving_service``."""
        self.allowed_services.add((MOVING_ROUTE, moving_service))
        extras = self.plan.extras
        feed = make_route(FEED_ROUTE, FEED, is_idempotent=extras.max_hedged_share > 0)
        limit = extras.cold_start_limit
        limits = {} if limit is None else {FEED: limit, ARCHIVE: limit}
        self.store.write_routes(
            [feed, make_route(MOVING_ROUTE, moving_service)], limits
        )

    def order_evacuation(self, zone: str) -> None:
        """Order the evacuation of a zone."""
        self.evacuated_at[zone] = trio.current_time()
        self.store.order_evacuation(zone)

    def withdraw_evacuation(self, zone: str) -> None:
        """Withdraw the order for a zone; its backend servers are then cold."""
        self.store.withdraw_evacuation(zone)
        del self.evacuated_at[zone]
        for backend in self.backends:
            if backend.zone == zone:
                self.cold_starts.begin(backend.server.host)

    def replace_backend(self, backend: SoakBackend) -> None:
        """Start another backend server at the address of a stopped one."""
        backend.replace()
        self.cold_starts.begin(backend.server.host)

    def write_settings(self, process: SoakProcess) -> None:
        """Write the settings of a process, with the seeds in random order."""
        backend = next(
            (backend for backend in self.backends if backend.agent is process), None
        )
        seeds = [balancer.host for balancer in self.balancers]
        write_settings(
            process.settings,
            name=process.host,
            host=process.host,
            packet_port=PACKET_PORT,
            peer_port=PEER_PORT,
            store_address=f"127.0.0.1:{process.store_port}",
            seeds=self.random_source.sample(seeds, min(3, len(seeds))),
            service="" if backend is None else backend.server.service,
            backend_address=f"{process.host}:{BACKEND_PORT}",
            outbound_port=OUTBOUND_PORT,
            zone="a" if backend is None else backend.zone,
            link_mbps=self.network.link_mbps.get(process.host),
            cold_start_tolerance=self.plan.extras.cold_start_tolerance,
        )

    def holds_flow(self, key: FlowKey) -> bool:
        """Whether any backend server holds a flow."""
        return any(backend.server.holds_flow(key) for backend in self.backends)

    def log_lines(self) -> list[OutputLine]:
        """Return the output lines of all processes."""
        return [line for process in self.supervisor.processes for line in process.lines]

    def trace_violations(self) -> list[str]:
        """Return the log lines on flows that were reset wrongly or ran twice."""
        lines = [line.text for line in self.log_lines()]
        report = []
        suspects = [*((key, "") for key in self.falsely_reset), *self.repeated]
        for key, host in suspects[:MAX_TRACES]:
            trace = trace_flow(describe_flow(key), lines)
            report += [f"{describe_flow(key)} {host}", *(str(line) for line in trace)]
        return report

    def check_opening(self, host: str, packet: Packet) -> None:
        """Count a new flow that violates a guarantee."""
        backend = next(
            backend for backend in self.backends if backend.server.host == host
        )
        if (
            route_address(packet.key),
            backend.server.service,
        ) not in self.allowed_services:
            self.result.foreign_runs += 1
        self.hedges.add(packet.key, host)
        self.result.late_openings += self._is_late(
            backend.drained_at, DRAIN_PROPAGATION_S
        ) or self._is_late(
            self.evacuated_at.get(backend.zone), EVACUATION_PROPAGATION_S
        )
        is_copy = packet.key in backend.server.flows
        if not is_copy and self.cold_starts.is_exceeded(host):
            began_at = self.cold_starts.began_at[host]
            self.result.cold_excess += self._are_undisturbed(began_at)

    def _is_late(self, ordered_at: float | None, limit_s: float) -> bool:
        """Whether what was ordered then, without faults, must be in force by now."""
        if ordered_at is None or not self._are_undisturbed(ordered_at):
            return False
        took_s = trio.current_time() - ordered_at
        # While this process doesn't run, the store doesn't either.
        return took_s - self.stall_watch.stalled_since(ordered_at) > limit_s

    def _are_undisturbed(self, moment: float) -> bool:
        """Whether the processes have run without faults since shortly before then."""
        return self.active_faults.have_ended_by(moment - FAULT_FREE_S)

    async def _create_process(self, host: str, module: str) -> SoakProcess:
        return SoakProcess(
            host=host,
            module=module,
            settings=self.folder / f"{host}.json",
            store_port=await self.store.listen("127.0.0.1"),
            supervisor=self.supervisor,
        )

    async def _create_backend(self, number: int, service: str) -> None:
        extras = self.plan.extras
        host = self.host(2, number)
        server = EmulatedBackendServer(
            service=service,
            host=host,
            port=BACKEND_PORT,
            agent=(host, OUTBOUND_PORT),
            slots=4,
            mean_service_time_s=0.03 * self.random_source.choice((0.6, 1.0, 1.6)),
            network=self.network,
            codec=self.codec,
            result=self.result,
            random_source=random.Random(self.random_source.random()),
            on_opening=lambda packet: self.check_opening(host, packet),
        )
        server.started_requests = self.started_requests
        server.on_repeated_run = lambda key: self.repeated.append((key, host))
        if extras.slow_opening_share:
            usual = round(1 / extras.slow_opening_share) - 1
            server.opening_delays_s = (*(0.0,) * usual, SLOW_OPENING_S)
        server.sequence_offset = number % SEQUENCE_OFFSETS * OFFSET_SPACING
        limit = extras.cold_start_limit
        backend = SoakBackend(
            server=server,
            agent=await self._create_process(host, "oleanderweir_platform.agent"),
            store=self.store,
            identifier=f"{host}-0",
            zone=ZONES[number % len(ZONES)] if extras.evacuation_probability else "a",
            cold_start_s=0.0 if limit is None else limit.duration_s,
        )
        backend.publish()
        self.backends.append(backend)


def copy_result(result: SiteResult) -> SiteResult:
    """Return a copy of the current counts."""
    return attrs.evolve(result)
