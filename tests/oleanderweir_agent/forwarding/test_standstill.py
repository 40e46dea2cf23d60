"""An agent that stands still while its address passes to another service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from oleanderweir.net import Datagram
from oleanderweir.packet_process.clock_watch import ClockWatch
from oleanderweir.packet_process.message_receiver import MessageReceiver
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.held_openings import MAX_HOLD_S
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench
from tests.oleanderweir.peering.heartbeat_bench import make_confirmation
from tests.oleanderweir_agent.forwarding.bench import BALANCER
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.packets import OPENING


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir.packet_process import PacketProgram
    from oleanderweir.peering.messages import Message


STANDSTILL_S = 2.2


class WaitingSocket:
    """A socket in which datagrams wait until the process reads them."""

    def __init__(self) -> None:
        self.waiting: list[Datagram] = []

    def add(self, host: str, message: Message) -> None:
        datagram = Datagram(data=encode_message(message), source=(host, 7720))
        self.waiting.append(datagram)

    def read_backlog(self) -> list[Datagram]:
        backlog, self.waiting = self.waiting, []
        return backlog

    async def receive_batch(self) -> list[Datagram]:
        while not self.waiting:
            await trio.sleep(0.01)
        batch, self.waiting = self.waiting[:1], self.waiting[1:]
        return batch


class FrozenAgent:
    """An agent process whose clock gains ``STANDSTILL_S`` before it reads again."""

    def __init__(self) -> None:
        self.socket = WaitingSocket()
        self.suspended_s = 0.0
        self.bench = AgentBench()
        heartbeat_bench = HeartbeatSenderBench(role=PeerRole.AGENT)
        heartbeat_bench.register = self.bench.register
        self.sender = heartbeat_bench.heartbeat_sender
        self.bench.agent.admission.proof = self.sender.confirmations.freshness
        self.receiver: MessageReceiver | None = None

    def clock(self) -> float:
        return trio.current_time() + self.suspended_s

    def on_wake(self) -> None:
        self.sender.on_standstill()
        assert self.receiver is not None
        self.receiver.process_backlog()
        self.bench.agent.on_standstill()

    async def wake(self, nursery: trio.Nursery) -> None:
        """Stand still, then read what has waited meanwhile."""
        self.receiver = MessageReceiver(
            peer_socket=cast("UdpSocket", self.socket),
            heartbeat_sender=self.sender,
            program=cast("PacketProgram", self.bench.agent),
            nursery=nursery,
            clock_watch=ClockWatch(on_wake=self.on_wake, clock=self.clock),
        )
        self.suspended_s += STANDSTILL_S
        opening = Delivery(purpose=DeliveryPurpose.OPEN, version=1, data=OPENING)
        self.socket.add(BALANCER, opening)
        self.socket.add(PEER, make_confirmation())
        nursery.start_soon(self.receiver.run)
        await trio.sleep(0.05)


async def test_a_waiting_opening_packet_is_returned_if_nothing_proves_the_state(
    autojump_clock: trio.testing.MockClock,
) -> None:
    agent = FrozenAgent()
    async with trio.open_nursery() as nursery:
        # The confirmation that waited as well proves nothing.
        await agent.wake(nursery)
        await agent.bench.pass_time(MAX_HOLD_S + 0.1)
        nursery.cancel_scope.cancel()

    assert agent.bench.to_backend() == []
    returned = ReturnedPacket(reason=ReturnReason.NO_ROUTE, data=OPENING)
    assert returned in agent.bench.to_peers()


async def test_a_waiting_opening_packet_reaches_no_backend_server_of_another_service(
    autojump_clock: trio.testing.MockClock,
) -> None:
    agent = FrozenAgent()
    async with trio.open_nursery() as nursery:
        await agent.wake(nursery)
        document = backend_document(host="10.0.0.1", service="archive")
        publish(agent.bench.register, version=1, revision=2, backends={"b2": document})
        for topic in Topic:
            agent.sender.on_source_response(topic, trio.current_time())
        await agent.bench.pass_time(0.1)
        nursery.cancel_scope.cancel()

    assert agent.bench.to_backend() == []


async def test_a_waiting_opening_packet_is_forwarded_once_all_is_proved(
    autojump_clock: trio.testing.MockClock,
) -> None:
    agent = FrozenAgent()
    async with trio.open_nursery() as nursery:
        await agent.wake(nursery)
        document = backend_document(host="10.0.0.1", started_at_ms=2000)
        publish(agent.bench.register, version=1, revision=2, backends={"b2": document})
        assert agent.bench.to_backend() == []
        agent.socket.add(PEER, make_confirmation())
        await agent.bench.pass_time(0.1)
        nursery.cancel_scope.cancel()

    assert agent.bench.to_backend() == [OPENING]
