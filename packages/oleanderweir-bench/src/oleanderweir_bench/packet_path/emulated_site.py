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
from oleanderweir.net import SocketAddress
from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir_agent.forwarding import AgentTransport
from oleanderweir_agent.forwarding import FlowAdmission
from oleanderweir_agent.forwarding import PacketAgent
from oleanderweir_agent.forwarding import PacketAgentSettings
from oleanderweir_agent.forwarding import create_packet_agent
from oleanderweir_balancer.forwarding import BalancerTransport
from oleanderweir_balancer.forwarding import PacketBalancer
from oleanderweir_balancer.forwarding import PacketBalancerSettings
from oleanderweir_balancer.forwarding import PlacementPolicy
from oleanderweir_bench.packet_path.emulated_backend import EmulatedBackendServer
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
from oleanderweir_bench.packet_path.published_state import PublishedState
from oleanderweir_bench.packet_path.site_result import SiteResult
from oleanderweir_bench.packet_path.stray_packet_watch import StrayPacketWatch
from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork
from oleanderweir_bench.packet_path.virtual_network import VirtualSocket


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.messages import Message


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
    """
    A running agent and the scope that cancels its task.

    A paused agent processes nothing; its datagrams wait in its sockets.
    """

    agent: PacketAgent
    is_paused: bool = False
    scope: trio.CancelScope


class EmulatedSite:
    """
    Real balancers and agents with emulated callers, routers and backend servers.

    There is no store: the published state is written into the register of each
    process, at its start and after each change.
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
        self.network = VirtualNetwork(
            nursery=nursery, random_source=random.Random(seed)
        )
        self.codec = EmulatedPacketCodec()
        self.router = EmulatedRouter(uses_rendezvous_hash=uses_rendezvous_hash)
        self.result = SiteResult()
        self.balancer_hosts = [f"10.0.1.{n}" for n in range(1, balancers + 1)]
        self.agent_hosts = [f"10.0.2.{n}" for n in range(1, backends + 1)]
        self.servers = {host: self._create_server(host) for host in self.agent_hosts}
        self.stray_packets = StrayPacketWatch(find_owner=self.find_owner)
        self.published = PublishedState(
            nursery=nursery,
            random_source=random.Random(seed),
            desired=self._create_desired_state(),
        )
        for host in self.agent_hosts:
            self.published.records[host] = self._create_record(host)
        self.agents: dict[str, RunningAgent] = {}
        self.members: dict[str, Members] = {}
        self.balancer_scopes: dict[str, trio.CancelScope] = {}
        for host in self.agent_hosts:
            self.start_agent(host)
        for host in self.balancer_hosts:
            self.start_balancer(host)

    # Operations of a scenario

    def start_balancer(self, host: str) -> None:
        """Start a balancer with an empty cache, and put it into rotation."""
        register = self.published.create_register(host)
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
            lambda source, data: self._on_message(host, balancer, source, data),
        )
        register.on_change = balancer.on_state_change
        scope = self.balancer_scopes[host] = trio.CancelScope()
        self.nursery.start_soon(self._retry_lookups, balancer, scope)
        if host not in self.router.hosts:
            self.router.hosts.append(host)

    def stop_balancer(self, host: str, *, stays_in_rotation: bool = False) -> None:
        """Kill a balancer; with ``stays_in_rotation``, routers keep sending to it."""
        self.balancer_scopes[host].cancel()
        self.network.stop_listening((host, CALLER_PORT))
        self.network.stop_listening((host, PEER_PORT))
        if not stays_in_rotation and host in self.router.hosts:
            self.router.hosts.remove(host)

    def start_agent(self, host: str) -> None:
        """Start an agent without flows; it processes the packets in its sockets."""
        register = self.published.create_register(host)
        admission = FlowAdmission(
            register=register, service=SERVICE, host=host, port=BACKEND_PORT
        )
        agent = create_packet_agent(
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
        register.on_change = lambda _: agent.on_state_change()
        agent.on_state_change()
        running = RunningAgent(agent=agent, scope=trio.CancelScope())
        self.agents[host] = running
        self._listen_for_agent(host, agent)
        self.nursery.start_soon(self._tick, running)

    def _listen_for_agent(self, host: str, agent: PacketAgent) -> None:
        self.network.listen(
            (host, PEER_PORT),
            lambda source, data: self._on_message(host, agent, source, data),
        )
        self.network.listen(
            (host, OUTBOUND_PORT), lambda _, data: agent.on_backend_packet(data)
        )

    def bind_agent(self, host: str) -> None:
        """Keep the packets to an agent that is paused or about to start."""
        self.network.hold((host, PEER_PORT))
        self.network.hold((host, OUTBOUND_PORT))

    async def pause_agent(self, host: str, seconds: float) -> None:
        """Pause an agent; afterwards its tick runs before it reads its sockets."""
        running = self.agents[host]
        running.is_paused = True
        self.bind_agent(host)
        await trio.sleep(seconds)
        running.is_paused = False
        if self.agents.get(host) is running:
            running.agent.on_tick()
            self._listen_for_agent(host, running.agent)

    def stop_agent(self, host: str) -> None:
        """Kill an agent; its backend server keeps running."""
        self.agents.pop(host).scope.cancel()
        self.network.stop_listening((host, PEER_PORT))
        self.network.stop_listening((host, OUTBOUND_PORT))

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

    def add_backend(self, host: str) -> None:
        """Start a backend server with its agent on a new host, and publish it."""
        self.agent_hosts.append(host)
        self.servers[host] = self._create_server(host)
        self.start_agent(host)
        self.published.records[host] = self._create_record(host)
        self.published.publish()
        for members in list(self.members.values()):
            self.nursery.start_soon(self._record_heartbeat_late, members, host)

    def remove_backend(self, host: str) -> None:
        """Stop a drained backend server and its agent, which departs."""
        self.servers[host].stop()
        self.agent_hosts.remove(host)
        self.published.records.pop(host)
        self.published.publish()
        self.agents[host].agent.announce_departure()
        self.stop_agent(host)

    def start_callers(
        self, count: int, *, until: float, requests_per_flow: float = float("inf")
    ) -> None:
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
                holds_flow=lambda key: self.find_owner(key) is not None,
                requests_per_flow=requests_per_flow,
                random_source=random.Random(self.random_source.random()),
            )
            self.nursery.start_soon(caller.run, until)

    def find_owner(self, key: FlowKey) -> str | None:
        """Return the host whose backend server has a flow open."""
        for host, server in self.servers.items():
            if key in server.flows and server.flows[key].is_open:
                return host
        return None

    # Components

    async def _tick(self, running: RunningAgent) -> None:
        with running.scope:
            while True:
                await trio.sleep(TICK_S)
                if not running.is_paused:
                    running.agent.on_tick()

    async def _retry_lookups(
        self, balancer: PacketBalancer, scope: trio.CancelScope
    ) -> None:
        with scope:
            while True:
                await trio.sleep(TICK_S)
                balancer.retry_lookups()

    async def _record_heartbeat_late(self, members: Members, host: str) -> None:
        lag_s = self.random_source.uniform(0, self.published.max_lag_s)
        await trio.sleep(lag_s)
        members.record_heartbeat(host, self._create_heartbeat(host))

    def _on_message(
        self,
        host: str,
        process: PacketBalancer | PacketAgent,
        source: str,
        data: bytes,
    ) -> None:
        """Dispatch a peer's message as a process does."""
        message: Message = decode_message(data)
        if isinstance(message, Departure):
            self.members[host].record_departure(source)
            return
        self.members[host].record_activity(source)
        process.on_message(source, message)

    def _on_flow_packet(self, host: str, packet: Packet) -> None:
        self.stray_packets.on_packet(host, packet.key)
        self.result.stray_flows = len(self.stray_packets.stray)

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
            on_flow_packet=lambda packet: self._on_flow_packet(host, packet),
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
            sequence=1,
        )

    def _create_desired_state(self) -> DesiredState:
        route = Route(
            name="route",
            address=ROUTE,
            shares=(ServiceShare(service=SERVICE, weight=1),),
            timeout_s=2.0,
            target_latency_s=0.25,
            priority=1,
        )
        return DesiredState(version=1, routes={ROUTE: route}, idle_timeout_s=15.0)

    def _create_members(self, host: str) -> Members:
        members = self.members[host] = Members(own_host=host)
        for other in (*self.balancer_hosts, *self.agent_hosts):
            members.record_heartbeat(other, self._create_heartbeat(other))
        return members

    def _create_heartbeat(self, host: str) -> Heartbeat:
        is_balancer = host in self.balancer_hosts
        return Heartbeat(
            role=PeerRole.BALANCER if is_balancer else PeerRole.AGENT,
            availability_zone="a",
            service="" if is_balancer else SERVICE,
            desired_version=0,
            backends_revision=0,
            balancers=(),
            agents=(),
            requests_reply=False,
            reads_source=False,
        )

    def _create_socket(self, host: str) -> UdpSocket:
        return cast("UdpSocket", VirtualSocket(network=self.network, host=host))
