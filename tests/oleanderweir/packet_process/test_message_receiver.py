from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import pytest
import trio
import trio.testing

from oleanderweir.error_barrier import unexpected_errors
from oleanderweir.flows import FlowKey
from oleanderweir.net import Datagram
from oleanderweir.packet_process.clock_watch import ClockWatch
from oleanderweir.packet_process.message_receiver import MessageReceiver
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.messages import Message
from oleanderweir.peering.messages import OwnerNotice
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir.packet_process import PacketProgram


ODD = OwnerNotice(key=FlowKey(b"odd " * 3), host="10.0.0.1")
GOOD = OwnerNotice(key=FlowKey(b"good" * 3), host="10.0.0.1")


class ScriptedSocket:
    """Delivers one batch of datagrams."""

    def __init__(self, *datagrams: bytes) -> None:
        self.batch = [Datagram(data=data, source=(PEER, 7720)) for data in datagrams]

    async def receive_batch(self) -> list[Datagram]:
        if not self.batch:
            await trio.sleep_forever()
        batch, self.batch = self.batch, []
        return batch


class FragileProgram:
    """A program that fails at one message."""

    def __init__(self) -> None:
        self.received: list[Message] = []

    def on_message(self, host: str, message: Message) -> None:
        assert host == PEER
        if message == ODD:
            raise OverflowError("int too large to convert to float")
        self.received.append(message)


@pytest.mark.unexpected_errors
async def test_a_message_that_raises_costs_no_other_message() -> None:
    program = FragileProgram()
    socket = ScriptedSocket(encode_message(ODD), b"\xff", encode_message(GOOD))
    async with trio.open_nursery() as nursery:
        receiver = MessageReceiver(
            peer_socket=cast("UdpSocket", socket),
            heartbeat_sender=HeartbeatSenderBench().heartbeat_sender,
            program=cast("PacketProgram", program),
            nursery=nursery,
            clock_watch=ClockWatch(on_wake=lambda: None),
        )
        nursery.start_soon(receiver.run)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()

    assert program.received == [GOOD]
    assert unexpected_errors == {"peer_datagram": 1}
