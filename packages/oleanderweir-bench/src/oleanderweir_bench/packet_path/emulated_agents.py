"""The agents of an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir.net import SocketAddress
from oleanderweir_agent.forwarding import AgentTransport
from oleanderweir_agent.forwarding import FlowAdmission
from oleanderweir_agent.forwarding import PacketAgent
from oleanderweir_agent.forwarding import PacketAgentSettings
from oleanderweir_agent.forwarding import create_packet_agent
from oleanderweir_agent.forwarding.agent_program import AgentProgram
from oleanderweir_bench.packet_path.emulated_probe import EmulatedProbe
from oleanderweir_bench.packet_path.running_agent import RunningAgent
from oleanderweir_bench.packet_path.site_settings import AVAILABILITY_ZONE
from oleanderweir_bench.packet_path.site_settings import BACKEND_PORT
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import FLOW_TTL_S
from oleanderweir_bench.packet_path.site_settings import OUTBOUND_PORT
from oleanderweir_bench.packet_path.site_settings import PEER_PORT
from oleanderweir_bench.packet_path.site_settings import SERVICE
from oleanderweir_bench.packet_path.virtual_network import VirtualSocket


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.forwarding import BackendProbe
    from oleanderweir_agent.forwarding import ColdStartTolerance
    from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
    from oleanderweir_bench.packet_path.emulated_peers import EmulatedPeers
    from oleanderweir_bench.packet_path.published_state import PublishedState
    from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


class EmulatedAgents:
    """Starts, pauses and stops the agents, which are the real code, by host."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        network: VirtualNetwork,
        codec: EmulatedPacketCodec,
        published: PublishedState,
        peers: EmulatedPeers,
    ) -> None:
        self.nursery = nursery
        self.network = network
        self.codec = codec
        self.published = published
        self.peers = peers
        self.running: dict[str, RunningAgent] = {}
        # Services of the backend servers by host, other than ``SERVICE``.
        self.services: dict[str, str] = {}
        # Tolerance of the agents that are started from now on.
        self.cold_start_tolerance: ColdStartTolerance | None = None

    def start(self, host: str) -> None:
        """Start an agent without flows; it processes the packets in its sockets."""
        register = self.published.create_register(host)
        agent = self._create(host, register)
        register.on_change = lambda _: agent.on_state_change()
        agent.on_state_change()
        running = self.running[host] = RunningAgent(agent=agent)
        heartbeats = self.peers.heartbeats
        if heartbeats is not None:
            heartbeats.follow_changes(host, lambda _: agent.on_state_change())
            running.heartbeat_sender = heartbeats.senders[host]
            running.heartbeat_sender.holds_no_flows = lambda: agent.holds_no_flows
            running.probe = EmulatedProbe(
                address=(host, BACKEND_PORT), network=self.network
            )
        self._listen(host, agent)
        self.nursery.start_soon(running.run)

    def bind(self, host: str) -> None:
        """Keep the packets to an agent that is paused or about to start."""
        self.network.hold((host, PEER_PORT))
        self.network.hold((host, OUTBOUND_PORT))

    async def pause(self, host: str, seconds: float) -> None:
        """Pause an agent; afterwards its tick runs before it reads its sockets."""
        running = self.running[host]
        running.is_paused = True
        self.bind(host)
        await trio.sleep(seconds)
        running.is_paused = False
        if self.running.get(host) is running:
            running.agent.on_tick()
            self._listen(host, running.agent)

    async def drain(self, host: str) -> None:
        """Forward the last packets, as an agent does that is about to stop."""
        running = self.running[host]
        program = AgentProgram(
            agent=running.agent,
            backend_socket=self._create_socket(host),
            probe=cast("BackendProbe", running.probe),
        )
        await program.drain()

    def stop(self, host: str) -> None:
        """Kill an agent; its backend server keeps running."""
        self.running.pop(host).scope.cancel()
        self.published.disconnect(host)
        self.network.stop_listening((host, PEER_PORT))
        self.network.stop_listening((host, OUTBOUND_PORT))

    def _create(self, host: str, register: StateRegister) -> PacketAgent:
        service = self.services.get(host, SERVICE)
        return create_packet_agent(
            service=service,
            flow_ttl_s=FLOW_TTL_S,
            codec=self.codec,
            register=register,
            members=self.peers.create_members(host, service=service),
            admission=FlowAdmission(
                register=register,
                service=service,
                host=host,
                port=BACKEND_PORT,
                availability_zone=AVAILABILITY_ZONE,
            ),
            transport=AgentTransport(
                settings=PacketAgentSettings(
                    backend_address=SocketAddress(host=host, port=BACKEND_PORT),
                    caller_port=CALLER_PORT,
                    peer_port=PEER_PORT,
                ),
                peer_socket=self._create_socket(host),
                backend_socket=self._create_socket(host),
            ),
            cold_start_tolerance=self.cold_start_tolerance,
        )

    def _create_socket(self, host: str) -> UdpSocket:
        return cast("UdpSocket", VirtualSocket(network=self.network, host=host))

    def _listen(self, host: str, agent: PacketAgent) -> None:
        self.network.listen(
            (host, PEER_PORT),
            lambda source, data: self.peers.dispatch(host, agent, source, data),
        )
        self.network.listen(
            (host, OUTBOUND_PORT), lambda _, data: agent.on_backend_packet(data)
        )
