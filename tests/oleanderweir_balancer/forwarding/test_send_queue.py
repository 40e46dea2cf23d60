from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir_balancer.forwarding.send_queue import MAX_WAIT_S
from oleanderweir_balancer.forwarding.send_queue import SendQueue
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key


if TYPE_CHECKING:
    from oleanderweir.flows import Packet


AGENT = "10.0.0.1"
LINK_MBPS = 5.0
FULL = 1200
# What a window of full packets takes on the link, in seconds.
WINDOW_S = 16 * FULL * 8 / (LINK_MBPS * 1_000_000)


def make_packet(flow: int, *, sequence: int, payload_bytes: int = FULL) -> Packet:
    data = encode_packet(
        make_key(flow), sequence=sequence, payload_bytes=payload_bytes
    ) + bytes(payload_bytes)
    packet = EmulatedPacketCodec().decode_from_caller(data[:-payload_bytes])
    assert packet is not None
    packet.data = data
    return packet


def offer(queue: SendQueue, packet: Packet, *, now: float = 0.0) -> bool:
    return queue.offer(AGENT, packet, packet.data, now=now)


def offer_window(queue: SendQueue, flow: int, *, now: float = 0.0) -> list[bool]:
    return [
        offer(queue, make_packet(flow, sequence=index * FULL), now=now)
        for index in range(16)
    ]


# The load it answers: eight callers upload through a link that takes two windows in the
# target latency of a short request.
def test_short_requests_overtake_uploads_on_a_saturated_link() -> None:
    queue = SendQueue(link_mbps=LINK_MBPS)
    for flow in range(1, 9):
        offer_window(queue, flow)
    assert len(queue) > 100

    assert offer(queue, make_packet(99, sequence=0, payload_bytes=200))


def test_queued_packets_leave_in_order_at_the_rate_of_the_link() -> None:
    queue = SendQueue(link_mbps=LINK_MBPS)
    is_sent = offer_window(queue, 1)
    sent = [queued.packet.sequence for queued in queue.pop_due(now=WINDOW_S / 2)]
    assert 0 < len(sent) < len(queue)

    now = WINDOW_S / 2
    while queue:
        now += 0.004
        sent += [queued.packet.sequence for queued in queue.pop_due(now=now)]

    assert sent == [index * FULL for index in range(is_sent.count(True), 16)]
    assert now == pytest.approx(WINDOW_S, rel=0.3)


def test_the_last_packet_of_an_upload_does_not_overtake_the_others() -> None:
    queue = SendQueue(link_mbps=LINK_MBPS)
    offer_window(queue, 1)

    assert not offer(queue, make_packet(1, sequence=16 * FULL, payload_bytes=300))


def test_a_copy_is_dropped_only_while_the_packet_waits() -> None:
    queue = SendQueue(link_mbps=LINK_MBPS)
    offer_window(queue, 1)
    waiting = len(queue)
    last = make_packet(1, sequence=15 * FULL)
    offer(queue, last)
    assert len(queue) == waiting

    now = 0.0
    while queue:
        now += 0.004
        queue.pop_due(now=now)
    assert offer(queue, last, now=now + 1.0)


def test_packets_that_wait_for_too_long_are_given_up() -> None:
    queue = SendQueue(link_mbps=LINK_MBPS)
    offer_window(queue, 1)
    waiting = len(queue)

    assert queue.pop_late(now=MAX_WAIT_S / 2) == []
    assert len(queue.pop_late(now=MAX_WAIT_S + 0.01)) == waiting
    assert queue.counts == {}


@given(
    sizes=st.lists(
        st.tuples(st.integers(1, 4), st.sampled_from([100, FULL])), max_size=80
    )
)
def test_each_packet_is_sent_once_or_queued(sizes: list[tuple[int, int]]) -> None:
    queue = SendQueue(link_mbps=LINK_MBPS)
    sent = 0
    for index, (flow, size) in enumerate(sizes):
        packet = make_packet(flow, sequence=index * FULL, payload_bytes=size)
        sent += offer(queue, packet, now=index * 0.001)
    now = 1.0
    while queue:
        now += 0.01
        sent += len(queue.pop_due(now=now))
    assert sent == len(sizes)
