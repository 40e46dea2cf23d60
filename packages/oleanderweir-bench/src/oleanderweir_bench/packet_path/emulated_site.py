"""A complete deployment of the packet path in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import attrs
import trio

from oleanderweir.desired_state import BackendRecord
from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import DesiredState
from oleanderweir.desired_state import Route
from oleanderweir.desired_state import ServiceShare
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.net import SocketAddress
from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir_agent.forwarding import AgentTransport
from oleanderweir_agent.forwarding import FlowAdmission
from oleanderweir_agent.forwarding import PacketAgent
from oleanderweir_agent.forwarding import PacketAgentSettings
from oleanderweir_balancer.forwarding import BalancerTransport
from oleanderweir_balancer.forwarding import PacketBalancer
from oleanderweir_balancer.forwarding import PacketBalancerSettings
from oleanderweir_balancer.forwarding import PlacementPolicy
from oleanderweir_bench.packet_path.emulated_backend import EmulatedBackendServer
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
from oleanderweir_bench.packet_path.site_result import SiteResult
from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork
from oleanderweir_bench.packet_path.virtual_network import VirtualSocket


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateDecoder
    from oleanderweir.flows import FlowKey
    from oleanderweir.net import UdpSocket


SERVICE = "feed"
ROUTE = bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big")
CALLER_PORT = 8172
PEER_PORT = 7720
BACKEND_PORT = 8080
OUTBOUND_PORT = 8162
FLOW_TTL_S = 60.0
TICK_S = 0.05


@attrs.define(kw_only=True, eq=False)
class RunningAgent:
    """A running agent and the scope that cancels its task."""

    agent: PacketAgent
    scope: trio.CancelScope


class EmulatedSite:
    """
    Real balancers and agents with emulated callers, routers and backend servers.

    There is no store: the published state is written into the register of each
    process, at its start and at each change.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        seed: int,
        balancers: int = 3,
        backends: int = 4,
        uses_rendezvous_hash: bool = True,
    ) -> None:
        self.nursery = nursery
        self.random_source = random.Random(seed)
        self.network = VirtualNetwork(nursery=nursery)
        self.codec = EmulatedPacketCodec()
        self.router = EmulatedRouter(uses_rendezvous_hash=uses_rendezvous_hash)
        self.result = SiteResult()
        self.balancer_hosts = [f"10.0.1.{n}" for n in range(1, balancers + 1)]
        self.agent_hosts = [f"10.0.2.{n}" for n in range(1, backends + 1)]
        self.servers = {host: self._create_server(host) for host in self.agent_hosts}
        self.records = {host: self._create_record(host) for host in self.agent_hosts}
        self.agents: dict[str, RunningAgent] = {}
        self.registers: dict[str, StateRegister] = {}
        for host in self.agent_hosts:
            self.start_agent(host)
        for host in self.balancer_hosts:
            self.start_balancer(host)

    # Operations of a scenario

    def start_balancer(self, host: str) -> None:
        """Start a balancer with an empty cache, and put it into rotation."""
        register = self._create_register(host)
        balancer = PacketBalancer(
            flow_ttl_s=FLOW_TTL_S,
            codec=self.codec,
            register=register,
            members=self._create_members(host),
            placement=PlacementPolicy(
                availability_zone="a",
                random_source=random.Random(self.random_source.random()),
            ),
            transport=BalancerTransport(
                settings=PacketBalancerSettings(
                    caller_port=CALLER_PORT, peer_port=PEER_PORT
                ),
                codec=self.codec,
                register=register,
                socket=self._create_socket(host),
            ),
        )
        self.network.listen(
            (host, CALLER_PORT), lambda _, data: balancer.on_caller_packet(data)
        )
        self.network.listen(
            (host, PEER_PORT),
            lambda source, data: balancer.on_message(source, decode_message(data)),
        )
        if host not in self.router.hosts:
            self.router.hosts.append(host)

    def stop_balancer(self, host: str, *, stays_in_rotation: bool = False) -> None:
        """Kill a balancer; with ``stays_in_rotation``, routers keep sending to it."""
        self.network.stop_listening((host, CALLER_PORT))
        self.network.stop_listening((host, PEER_PORT))
        if not stays_in_rotation:
            self.router.hosts.remove(host)

    def start_agent(self, host: str) -> None:
        """Start an agent without flows."""
        register = self._create_register(host)
        admission = FlowAdmission(
            register=register, service=SERVICE, host=host, port=BACKEND_PORT
        )
        agent = PacketAgent(
            service=SERVICE,
            flow_ttl_s=FLOW_TTL_S,
            codec=self.codec,
            register=register,
            members=self._create_members(host),
            admission=admission,
            transport=AgentTransport(
                settings=PacketAgentSettings(
                    backend_address=SocketAddress(host=host, port=BACKEND_PORT),
                    caller_port=CALLER_PORT,
                    peer_port=PEER_PORT,
                ),
                peer_socket=self._create_socket(host),
                backend_socket=self._create_socket(host),
            ),
        )
        agent.on_state_change()
        scope = trio.CancelScope()
        self.agents[host] = RunningAgent(agent=agent, scope=scope)
        self.network.listen(
            (host, PEER_PORT),
            lambda source, data: agent.on_message(source, decode_message(data)),
        )
        self.network.listen(
            (host, OUTBOUND_PORT), lambda _, data: agent.on_backend_packet(data)
        )
        self.nursery.start_soon(self._tick, agent, scope)

    def stop_agent(self, host: str) -> None:
        """Kill an agent; its backend server keeps running."""
        self.agents.pop(host).scope.cancel()
        self.network.stop_listening((host, PEER_PORT))
        self.network.stop_listening((host, OUTBOUND_PORT))

    def drain(self, host: str) -> None:
        """Publish that a backend server accepts no new flows."""
        self.records[host] = attrs.evolve(
            self.records[host], state=BackendState.DRAINING
        )
        for register in self.registers.values():
            self._publish(register)
        for running in self.agents.values():
            running.agent.on_state_change()

    def start_callers(self, count: int, *, until: float) -> None:
        """Start callers that send requests until ``until``, a time of trio's clock."""
        for number in range(count):
            caller = EmulatedCaller(
                host=f"100.64.{number // 250}.{number % 250 + 1}",
                route=ROUTE,
                port=CALLER_PORT,
                balancer_port=CALLER_PORT,
                network=self.network,
                router=self.router,
                codec=self.codec,
                result=self.result,
                holds_flow=self.holds_flow,
                random_source=random.Random(self.random_source.random()),
            )
            self.nursery.start_soon(caller.run, until)

    def holds_flow(self, key: FlowKey) -> bool:
        """Whether any backend server has a flow open."""
        return any(
            key in server.flows and server.flows[key].is_open
            for server in self.servers.values()
        )

    # Components

    async def _tick(self, agent: PacketAgent, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                await trio.sleep(TICK_S)
                agent.on_tick()

    def _create_server(self, host: str) -> EmulatedBackendServer:
        return EmulatedBackendServer(
            service=SERVICE,
            host=host,
            port=BACKEND_PORT,
            agent=(host, OUTBOUND_PORT),
            slots=4,
            mean_service_time_s=0.05 * self.random_source.choice((0.6, 1.0, 1.6)),
            network=self.network,
            codec=self.codec,
            result=self.result,
            random_source=random.Random(self.random_source.random()),
        )

    def _create_record(self, host: str) -> BackendRecord:
        return BackendRecord(
            identifier=f"server-{host}",
            service=SERVICE,
            host=host,
            port=BACKEND_PORT,
            availability_zone="a",
            slots=4,
            state=BackendState.READY,
            cold_remaining_s=0.0,
            started_at_ms=1,
        )

    def _create_register(self, host: str) -> StateRegister:
        # The register is filled directly, so it needs no decoder.
        register = StateRegister(
            decoder=cast("StateDecoder", None), on_change=lambda _: None
        )
        route = Route(
            name="route",
            address=ROUTE,
            shares=(ServiceShare(service=SERVICE, weight=1),),
            timeout_s=2.0,
            target_latency_s=0.25,
            priority=1,
        )
        register.desired = DesiredState(
            version=1, routes={ROUTE: route}, idle_timeout_s=15.0
        )
        register.services_by_address[ROUTE] = {SERVICE}
        self.registers[host] = register
        self._publish(register)
        return register

    def _publish(self, register: StateRegister) -> None:
        register.backends = {
            record.identifier: record for record in self.records.values()
        }
        register.by_service = None
        register.listed_at = trio.current_time()
        register.topics[Topic.BACKEND_SERVERS].revision += 1

    def _create_members(self, host: str) -> Members:
        members = Members(own_host=host)
        for other in (*self.balancer_hosts, *self.agent_hosts):
            is_balancer = other in self.balancer_hosts
            heartbeat = Heartbeat(
                role=PeerRole.BALANCER if is_balancer else PeerRole.AGENT,
                availability_zone="a",
                service="" if is_balancer else SERVICE,
                desired_revision=0,
                backends_revision=0,
                balancers=(),
                agents=(),
                requests_reply=False,
                reads_source=False,
            )
            members.record_heartbeat(other, heartbeat)
        return members

    def _create_socket(self, host: str) -> UdpSocket:
        return cast("UdpSocket", VirtualSocket(network=self.network, host=host))
