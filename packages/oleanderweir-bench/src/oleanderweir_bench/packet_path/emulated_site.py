"""A complete deployment of the packet path in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import BackendRecord
from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import DesiredState
from oleanderweir_bench.packet_path.caller_starter import CallerStarter
from oleanderweir_bench.packet_path.emulated_agents import EmulatedAgents
from oleanderweir_bench.packet_path.emulated_backends import EmulatedBackends
from oleanderweir_bench.packet_path.emulated_balancers import EmulatedBalancers
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
from oleanderweir_bench.packet_path.emulated_heartbeats import EmulatedHeartbeats
from oleanderweir_bench.packet_path.emulated_peers import EmulatedPeers
from oleanderweir_bench.packet_path.emulated_readiness import EmulatedReadiness
from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
from oleanderweir_bench.packet_path.fault_record import FaultRecord
from oleanderweir_bench.packet_path.published_state import PublishedState
from oleanderweir_bench.packet_path.routes import make_route
from oleanderweir_bench.packet_path.site_result import SiteResult
from oleanderweir_bench.packet_path.site_settings import AVAILABILITY_ZONE
from oleanderweir_bench.packet_path.site_settings import BACKEND_PORT
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import ROUTE
from oleanderweir_bench.packet_path.site_settings import SERVICE
from oleanderweir_bench.packet_path.site_settings import SLOTS
from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.flows import FlowKey
    from oleanderweir_bench.packet_path.emulated_backend import EmulatedBackendServer
    from oleanderweir_bench.packet_path.running_agent import RunningAgent


class EmulatedSite:
    """
    Real balancers and agents with emulated callers, routers and backend servers.

    There is no store: the published state is written into the register of each
    process, at its start and after each change. Scenarios use the operations below.
    With ``runs_programs``, the processes do all that the programs do: they exchange
    heartbeats, probe backend servers, and get the published state after their start.
    With ``max_hedged_share``, the route is idempotent and balancers hedge its flows.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        seed: int,
        balancers: int = 3,
        backends: int = 4,
        uses_rendezvous_hash: bool = True,
        runs_programs: bool = False,
        max_hedged_share: float = 0.0,
    ) -> None:
        self.runs_programs = runs_programs
        self.max_hedged_share = max_hedged_share
        self.faults = FaultRecord()
        self.nursery = nursery
        self.random_source = random.Random(seed)
        self.network = VirtualNetwork(
            nursery=nursery, random_source=random.Random(seed)
        )
        self.codec = EmulatedPacketCodec()
        self.router = EmulatedRouter(uses_rendezvous_hash=uses_rendezvous_hash)
        self.result = SiteResult()
        # Flows that were reset although a backend server held them.
        self.falsely_reset: list[FlowKey] = []
        self.balancer_hosts = [f"10.0.1.{n}" for n in range(1, balancers + 1)]
        self.agent_hosts = [f"10.0.2.{n}" for n in range(1, backends + 1)]
        self.published = PublishedState(
            nursery=nursery,
            random_source=random.Random(seed),
            desired=DesiredState(
                version=1,
                routes={
                    ROUTE: make_route(
                        ROUTE, SERVICE, is_idempotent=max_hedged_share > 0
                    )
                },
                idle_timeout_s=15.0,
            ),
        )
        self.published.is_watched = runs_programs
        heartbeats = EmulatedHeartbeats(
            seeds=self.balancer_hosts,
            random_source=random.Random(seed),
            network=self.network,
            published=self.published,
        )
        self.peers = EmulatedPeers(
            balancer_hosts=self.balancer_hosts,
            agent_hosts=self.agent_hosts,
            random_source=self.random_source,
            nursery=nursery,
            heartbeats=heartbeats if runs_programs else None,
        )
        self.backends = EmulatedBackends(
            random_source=self.random_source,
            network=self.network,
            codec=self.codec,
            result=self.result,
        )
        self.agent_processes = EmulatedAgents(
            nursery=nursery,
            network=self.network,
            codec=self.codec,
            published=self.published,
            peers=self.peers,
        )
        self.balancer_processes = EmulatedBalancers(
            nursery=nursery,
            random_source=self.random_source,
            network=self.network,
            codec=self.codec,
            router=self.router,
            published=self.published,
            peers=self.peers,
            max_hedged_share=max_hedged_share,
        )
        self.readiness = EmulatedReadiness(
            router=self.router,
            hosts=self.balancer_hosts,
            balancers=self.balancer_processes,
        )
        self._start()

    @property
    def servers(self) -> dict[str, EmulatedBackendServer]:
        """The backend servers by host, the stopped ones included."""
        return self.backends.servers

    @property
    def agents(self) -> dict[str, RunningAgent]:
        """The running agents by host."""
        return self.agent_processes.running

    # Balancers and agents

    def start_balancer(self, host: str) -> None:
        """Start a balancer with an empty cache, and put it into rotation."""
        self.balancer_processes.start(host)

    def stop_balancer(self, host: str, *, stays_in_rotation: bool = False) -> None:
        """Kill a balancer; with ``stays_in_rotation``, routers keep sending to it."""
        self.balancer_processes.stop(host, stays_in_rotation=stays_in_rotation)

    def start_agent(self, host: str) -> None:
        """Start an agent without flows; it processes the packets in its sockets."""
        self.agent_processes.start(host)

    def bind_agent(self, host: str) -> None:
        """Keep the packets to an agent that is paused or about to start."""
        self.agent_processes.bind(host)

    async def pause_agent(self, host: str, seconds: float) -> None:
        """Pause an agent; afterwards its tick runs before it reads its sockets."""
        await self.agent_processes.pause(host, seconds)

    def stop_agent(self, host: str) -> None:
        """Kill an agent; its backend server keeps running."""
        self.agent_processes.stop(host)

    # Backend servers

    def drain(self, host: str) -> None:
        """Publish that a backend server accepts no new flows."""
        self.published.records[host] = attrs.evolve(
            self.published.records[host], state=BackendState.DRAINING
        )
        self.published.publish()

    async def lapse(self, host: str, seconds: float) -> None:
        """Let the entry of a running backend server lapse, and publish it again."""
        record = self.published.records.pop(host)
        self.published.publish()
        await trio.sleep(seconds)
        self.published.records[host] = record
        self.published.publish()

    def add_backend(
        self,
        host: str,
        *,
        service: str = SERVICE,
        started_at_ms: int = 1,
        cold_remaining_s: float = 0.0,
    ) -> None:
        """Start a backend server with its agent on a new host, and publish it."""
        self.agent_hosts.append(host)
        self.agent_processes.services[host] = service
        self.backends.start(host, service=service)
        self.start_agent(host)
        self.published.records[host] = _make_record(
            host,
            service=service,
            started_at_ms=started_at_ms,
            cold_remaining_s=cold_remaining_s,
        )
        self.published.publish()
        self.peers.introduce(host, max_lag_s=self.published.max_lag_s)

    def remove_backend(self, host: str) -> None:
        """Stop a drained backend server and its agent, which departs."""
        self.servers[host].stop()
        self.agent_hosts.remove(host)
        self.published.records.pop(host)
        self.published.publish()
        self.agents[host].agent.announce_departure()
        self.stop_agent(host)

    # Callers

    def start_callers(
        self,
        count: int,
        *,
        until: float,
        requests_per_flow: float = float("inf"),
        caller_type: type[EmulatedCaller] = EmulatedCaller,
        routes: Sequence[bytes] = (ROUTE,),
        block: int = 0,
    ) -> None:
        """Start callers that send requests until ``until``, a time of trio's clock."""
        callers = CallerStarter(
            nursery=self.nursery,
            random_source=self.random_source,
            port=CALLER_PORT,
            network=self.network,
            router=self.router,
            codec=self.codec,
            result=self.result,
            holds_flow=self.backends.holds_flow,
            on_false_reset=self.falsely_reset.append,
            is_judged=self._is_judged,
            caller_type=caller_type,
        )
        for number in range(count):
            callers.start(
                f"100.{64 + block}.{number // 250}.{number % 250 + 1}",
                route=routes[number % len(routes)],
                until=until,
                requests_per_flow=requests_per_flow,
            )

    def _is_judged(self, key: FlowKey, host: str) -> bool:
        """Whether a reset of a flow counts that a host sent."""
        owner = self.backends.find_owner(key)
        return owner is not None and self._are_undisturbed(owner, host)

    def _are_undisturbed(self, owner: str, host: str) -> bool:
        return self.faults.is_undisturbed(owner) and self.faults.is_undisturbed(host)

    def _start(self) -> None:
        self.backends.stray_packets.is_judged = self._are_undisturbed
        for host in self.agent_hosts:
            self.backends.start(host)
            self.published.records[host] = _make_record(host)
        for host in self.agent_hosts:
            self.start_agent(host)
        for host in self.balancer_hosts:
            self.start_balancer(host)
        if self.runs_programs:
            self.published.publish()
            self.nursery.start_soon(self.readiness.run)


def _make_record(
    host: str,
    *,
    service: str = SERVICE,
    started_at_ms: int = 1,
    cold_remaining_s: float = 0.0,
) -> BackendRecord:
    number = f"-{started_at_ms}" if started_at_ms > 1 else ""
    return BackendRecord(
        identifier=f"server-{host}{number}",
        service=service,
        host=host,
        port=BACKEND_PORT,
        availability_zone=AVAILABILITY_ZONE,
        slots=SLOTS,
        state=BackendState.READY,
        cold_remaining_s=cold_remaining_s,
        started_at_ms=started_at_ms,
        sequence=1,
    )
