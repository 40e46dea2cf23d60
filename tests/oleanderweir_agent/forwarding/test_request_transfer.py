from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir.flows import SEQUENCE_MODULUS
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir_agent.forwarding.request_transfer import RequestTransfer
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import request


if TYPE_CHECKING:
    import trio.testing


FULL = 1200
LAST = 300


def upload(number: int, *, packets: int, start: int = 1) -> list[bytes]:
    """Return the packets of a request, all full but the last."""
    key = make_key(number)
    sizes = [FULL] * (packets - 1) + [LAST]
    return [
        encode_packet(
            key,
            payload_bytes=size,
            sequence=(start + index * FULL) % SEQUENCE_MODULUS,
        )
        for index, size in enumerate(sizes)
    ]


def make_bench(flows: int) -> AgentBench:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.agent.on_state_change()
    for number in range(1, flows + 1):
        open_flow(bench, number)
    bench.to_backend()
    return bench


def send(bench: AgentBench, *packets: bytes) -> None:
    for packet in packets:
        bench.deliver(DeliveryPurpose.CONTINUE, packet, version=1)


# The load it answers: callers on slow links send large requests, which need a slot for
# a few milliseconds only.
async def test_requests_that_arrive_slowly_hold_no_slot() -> None:
    bench = make_bench(31)
    for number in range(1, 31):
        send(bench, *upload(number, packets=60)[:10])
    bench.to_backend()

    send(bench, request(31))

    assert bench.to_backend() == [request(31)]
    assert bench.agent.dispatcher.meter.busy == 1


async def test_the_last_packet_waits_for_a_slot_and_the_others_do_not() -> None:
    bench = make_bench(7)
    send(bench, *(request(number) for number in range(1, 6)))
    bench.to_backend()

    packets = upload(6, packets=4)
    send(bench, *packets)
    assert bench.to_backend() == packets[:-1]

    bench.agent.on_backend_packet(answer(1))
    assert bench.to_backend() == packets[-1:]


async def test_an_arriving_request_of_a_caller_that_gave_up_is_forgotten(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench(1)
    send(bench, *upload(1, packets=4)[:2])
    assert bench.agent.dispatcher.meter.receiving == 1

    await bench.pass_time(2.1)

    assert bench.agent.dispatcher.meter.receiving == 0


@pytest.mark.parametrize("start", [1, SEQUENCE_MODULUS - 2000])
@given(data=st.data())
def test_a_request_is_complete_once_all_its_packets_have_arrived(
    start: int, data: st.DataObject
) -> None:
    count = data.draw(st.integers(min_value=2, max_value=12))
    codec = EmulatedPacketCodec()
    packets = upload(1, packets=count, start=start)
    rest = data.draw(st.permutations(range(1, count)))
    copies = data.draw(st.lists(st.integers(0, count - 1), max_size=4))
    transfer = RequestTransfer(began_at=0.0, origin=start)
    arrived: set[int] = set()
    for index in [0, *rest, *copies]:
        packet = codec.decode_from_caller(packets[index])
        assert packet is not None
        transfer.record(packet)
        arrived.add(index)
        assert transfer.is_complete is (len(arrived) == count)
