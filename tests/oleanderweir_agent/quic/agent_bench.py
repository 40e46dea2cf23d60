"""The endpoint of an agent on an in-memory socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing
from prometheus_client import CollectorRegistry

from oleanderweir.configuration import Service
from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.envelope import Envelope
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.keys import KeyPurpose
from oleanderweir.net import Datagram
from oleanderweir.net import SocketAddress
from oleanderweir.net import UdpSocket
from oleanderweir.net import pack_sockaddr
from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_agent.quic import AgentChoice
from oleanderweir_agent.quic import ConnectionIdIssuer
from oleanderweir_agent.quic import PacketEndpoint
from oleanderweir_agent.quic import RetryTokenCodec
from oleanderweir_agent.requests import ResponseHead
from tests.oleanderweir.helpers import make_key_ring
from tests.oleanderweir_agent.quic.connection_pair import CALLER
from tests.oleanderweir_agent.quic.connection_pair import make_server_configuration
from tests.oleanderweir_balancer.fakes import FakeConfiguration


if TYPE_CHECKING:
    from oleanderweir_agent.drop_reason import DropReason
    from oleanderweir_agent.requests import Request
    from oleanderweir_agent.requests import Responder


SERVICE = Service(name="horaflujo", address=SocketAddress.parse("192.0.2.1:443"))
OTHER_SERVICE = SocketAddress.parse("192.0.2.2:443").packed
BALANCER = ("127.0.0.1", 7001)
OTHER_BALANCER = ("127.0.0.1", 7002)


class MemorySocket(UdpSocket):
    """Receives datagrams from a test; records sent ones with their destination."""

    def __init__(self) -> None:
        self.sender, self.receiver = trio.open_memory_channel[Datagram](1000)
        self.sent: list[Datagram] = []

    async def receive_batch(self) -> list[Datagram]:
        batch = [await self.receiver.receive()]
        while self.receiver.statistics().current_buffer_used:
            batch.append(self.receiver.receive_nowait())
        return batch

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent.append(Datagram(data=data, source=address))
        return True


class FixedChooser:
    """Always chooses the same agent."""

    def __init__(self, choice: AgentChoice) -> None:
        self.choice = choice

    def choose(self) -> AgentChoice:
        return self.choice


class RecordingHandler:
    """Responds with status 200, except ``/wait``, which waits until cancelled."""

    def __init__(self) -> None:
        self.handled: list[Request] = []
        self.cancelled = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        self.handled.append(request)
        if request.path == "/wait":
            try:
                await trio.sleep_forever()
            finally:
                self.cancelled += 1
        await responder.send_head(ResponseHead(status=200, headers=()))
        await responder.finish()


class AgentBench:
    """The endpoint of one agent with an in-memory socket."""

    def __init__(
        self, *, port: int = 4433, incarnation: int = 7, keys: str | None = None
    ) -> None:
        ring = make_key_ring(keys) if keys else make_key_ring()
        self.address = SocketAddress(host="127.0.0.1", port=port)
        self.to_agent = EnvelopeCodec(
            key_ring=ring, purpose=KeyPurpose.ENVELOPE_TO_AGENT
        )
        self.from_agent = EnvelopeCodec(
            key_ring=ring, purpose=KeyPurpose.ENVELOPE_TO_BALANCER
        )
        self.socket = MemorySocket()
        self.handler = RecordingHandler()
        self.used_balancers: list[tuple[str, int]] = []
        self.choice = AgentChoice(address=self.address, incarnation=incarnation)
        self.chooser = FixedChooser(self.choice)
        self.metrics = AgentMetrics(registry=CollectorRegistry())
        self.token_codec = RetryTokenCodec(key_ring=ring, clock_s=trio.current_time)
        self.endpoint = PacketEndpoint(
            socket=self.socket,
            service_name=SERVICE.name,
            configuration=FakeConfiguration(services=[SERVICE]),
            quic_configuration=make_server_configuration(),
            inbound_codec=self.to_agent,
            outbound_codec=self.from_agent,
            token_codec=self.token_codec,
            issuer=ConnectionIdIssuer(
                codec=ConnectionIdCodec(key_ring=ring),
                agent_address=self.address,
                incarnation=incarnation,
            ),
            chooser=self.chooser,
            handler=self.handler,
            metrics=self.metrics,
        )

    async def receive(
        self,
        data: bytes,
        *,
        balancer: tuple[str, int] = BALANCER,
        caller: tuple[str, int] = CALLER,
        service: bytes = SERVICE.address.packed,
    ) -> list[Envelope]:
        """Deliver one packet; return the packets that the agent sends at once."""
        self.deliver(data, balancer=balancer, caller=caller, service=service)
        await trio.testing.wait_all_tasks_blocked()
        return self.pop_sent()

    def deliver(
        self,
        data: bytes,
        *,
        balancer: tuple[str, int] = BALANCER,
        caller: tuple[str, int] = CALLER,
        service: bytes = SERVICE.address.packed,
    ) -> None:
        """Deliver one packet to the agent's socket."""
        envelope = Envelope(
            service=service, caller=pack_sockaddr(caller), datagram=data
        )
        self.socket.sender.send_nowait(
            Datagram(data=self.to_agent.encode(envelope), source=balancer)
        )

    def pop_sent(self) -> list[Envelope]:
        """Return the packets sent since the last call."""
        sent, self.socket.sent = self.socket.sent, []
        self.used_balancers += [datagram.source for datagram in sent]
        return [self.from_agent.decode(datagram.data) for datagram in sent]

    def dropped(self, reason: DropReason) -> float:
        value: float = self.metrics.dropped[reason]._value.get()
        return value
