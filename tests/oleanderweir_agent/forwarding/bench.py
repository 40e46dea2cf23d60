from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir.net import SocketAddress
from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir_agent.forwarding import AgentTransport
from oleanderweir_agent.forwarding import ColdStartTolerance
from oleanderweir_agent.forwarding import FlowAdmission
from oleanderweir_agent.forwarding import PacketAgentSettings
from oleanderweir_agent.forwarding import ProbeOutcome
from oleanderweir_agent.forwarding import create_packet_agent
from oleanderweir_agent.forwarding.cold_period import never_evacuated
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import FakeSocket
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.packets import request


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.messages import Message


BALANCER = "10.0.9.1"
CALLER_PORT = 8172
PEER_PORT = 7720
BACKEND = SocketAddress(host="10.0.0.1", port=8080)


class AgentBench:
    """
    An agent whose fake sockets record its datagrams; requires a trio task.

    It has a desired state that allows its service, and a listing without its backend
    server, unless ``is_new`` is set.
    """

    def __init__(
        self,
        *,
        is_new: bool = False,
        cold_start_tolerance: ColdStartTolerance | None = None,
        evacuation_ended_at: Callable[[str], float | None] = never_evacuated,
    ) -> None:
        self.peer_socket = FakeSocket()
        self.backend_socket = FakeSocket()
        self.register = make_register()
        self.members = Members(own_host=BACKEND.host)
        self.agent = create_packet_agent(
            service="feed",
            flow_ttl_s=60.0,
            codec=EmulatedPacketCodec(),
            register=self.register,
            members=self.members,
            admission=FlowAdmission(
                register=self.register,
                service="feed",
                host=BACKEND.host,
                port=BACKEND.port,
                availability_zone="a",
            ),
            transport=AgentTransport(
                settings=PacketAgentSettings(
                    backend_address=BACKEND,
                    caller_port=CALLER_PORT,
                    peer_port=PEER_PORT,
                ),
                peer_socket=cast("UdpSocket", self.peer_socket),
                backend_socket=cast("UdpSocket", self.backend_socket),
            ),
            cold_start_tolerance=cold_start_tolerance,
            evacuation_ended_at=evacuation_ended_at,
        )
        if not is_new:
            publish(self.register, version=1, revision=1)
        self.register.on_change = lambda topic: self.agent.on_state_change()
        self.members.record_heartbeat(BALANCER, make_heartbeat(PeerRole.BALANCER))

    def deliver(
        self, purpose: DeliveryPurpose, data: bytes, *, version: int = 0
    ) -> None:
        message = Delivery(purpose=purpose, version=version, data=data)
        self.agent.on_message(BALANCER, message)

    def to_backend(self) -> list[bytes]:
        """Return the packets sent to the backend server since the last call."""
        return self.backend_socket.pop_sent_to(BACKEND.port)

    def to_callers(self) -> list[bytes]:
        """Return the packets sent to callers since the last call."""
        return self.backend_socket.pop_sent_to(CALLER_PORT)

    def to_peers(self) -> list[Message]:
        """Return the messages sent to balancers and agents since the last call."""
        return [decode_message(data) for data, _ in self.peer_socket.pop_sent()]

    async def pass_time(self, seconds: float) -> None:
        """Sleep for a time, with a tick of the agent every 50 ms."""
        for _ in range(round(seconds / 0.05)):
            await trio.sleep(0.05)
            self.agent.on_tick()


def make_heartbeat(role: PeerRole, *, service: str = "") -> Heartbeat:
    return Heartbeat(
        role=role,
        availability_zone="a",
        service=service,
        desired_version=0,
        backends_revision=0,
        balancers=(),
        agents=(),
        requests_reply=False,
        reads_source=False,
    )


def open_flow(bench: AgentBench, number: int) -> None:
    key = make_key(number)
    bench.deliver(DeliveryPurpose.OPEN, encode_packet(key, is_opening=True))
    bench.agent.on_backend_packet(
        encode_packet(key, is_opening=True, is_acknowledging=True)
    )


async def simulate_backend_crash(bench: AgentBench) -> None:
    """Leave opening packets unanswered until the backend server counts as down."""
    for number in (101, 102, 103):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN, opening)
        await bench.pass_time(0.3)
        bench.agent.on_probe_outcome(
            ProbeOutcome.REFUSED, checked_at=trio.current_time()
        )
    bench.to_peers()


def saturate(bench: AgentBench) -> None:
    """Fill the slots, and queue as many requests."""
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.agent.on_state_change()
    slots = bench.agent.dispatcher.meter.slots
    for number in range(1, 2 * slots + 2):
        open_flow(bench, number)
        bench.deliver(DeliveryPurpose.CONTINUE, request(number))
    bench.to_peers()
