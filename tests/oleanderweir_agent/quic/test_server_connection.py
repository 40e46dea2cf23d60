from __future__ import annotations

from collections import defaultdict
from importlib.metadata import version

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.events import ConnectionIdIssued
from aioquic.quic.events import StreamDataReceived

from oleanderweir_agent.quic.server_connection import ServerH3Connection
from tests.oleanderweir_agent.quic.connection_pair import INCARNATION
from tests.oleanderweir_agent.quic.connection_pair import SERVICE
from tests.oleanderweir_agent.quic.connection_pair import ConnectionPair
from tests.oleanderweir_agent.quic.connection_pair import make_issuer


GOAWAY_AFTER_FIRST_REQUEST = b"\x07\x01\x04"
GET = [
    (b":method", b"GET"),
    (b":scheme", b"https"),
    (b":authority", b"test"),
    (b":path", b"/"),
]


def test_aioquic_has_the_version_whose_private_attributes_are_used() -> None:
    assert version("aioquic") == "1.7.2"


def test_every_connection_id_names_agent_incarnation_and_service() -> None:
    pair = ConnectionPair()
    issuer = make_issuer()

    issued = pair.server.host_connection_ids

    assert len(issued) == 8
    assert len(set(issued)) == 8
    for data in issued:
        route = issuer.codec.decode(data)
        assert route.agent == issuer.agent
        assert route.incarnation == INCARNATION
        assert route.service_tag == issuer.codec.issuing_service_tag(SERVICE)


def test_established_packets_carry_issued_connection_ids_only() -> None:
    pair = ConnectionPair()
    pair.to_server.clear()
    for _ in range(20):
        pair.client.send_ping(1)
        pair.client.change_connection_id()
        pair.exchange()

    codec = make_issuer().codec

    assert len(pair.to_server) >= 20
    for data in pair.to_server:
        assert codec.decode(data[1:21]).incarnation == INCARNATION


def test_issued_connection_ids_are_reported() -> None:
    pair = ConnectionPair()
    reported = set()
    event = pair.server.next_event()
    while event is not None:
        if isinstance(event, ConnectionIdIssued):
            reported.add(event.connection_id)
        event = pair.server.next_event()

    assert set(pair.server.host_connection_ids[1:]) <= reported


def test_buffered_bytes_are_zero_after_acknowledgement() -> None:
    pair = ConnectionPair()
    stream_id = pair.server.get_next_available_stream_id()
    pair.server.send_stream_data(stream_id, bytes(5000))

    before = pair.server.buffered_bytes(stream_id)
    pair.exchange()

    assert before == 5000
    assert pair.server.buffered_bytes(stream_id) == 0


def test_probe_count_rises_until_a_packet_is_acknowledged() -> None:
    pair = ConnectionPair()
    pair.server.send_ping(1)
    pair.server.datagrams_to_send(pair.now)
    timer = pair.server.get_timer()
    assert timer is not None

    pair.server.handle_timer(timer)

    assert pair.server.probe_count == 1
    pair.now = timer
    pair.exchange()
    assert pair.server.probe_count == 0


def test_goaway_names_the_next_request() -> None:
    pair = ConnectionPair()
    server = ServerH3Connection(quic=pair.server)
    client = H3Connection(pair.client)
    stream_id = pair.client.get_next_available_stream_id()
    client.send_headers(stream_id, GET, end_stream=True)
    pair.exchange()
    event = pair.server.next_event()
    while event is not None:
        for h3_event in server.handle_event(event):
            if isinstance(h3_event, HeadersReceived):
                server.record_request(h3_event.stream_id)
        event = pair.server.next_event()

    server.send_goaway()
    pair.exchange()

    received: defaultdict[int, bytes] = defaultdict(bytes)
    event = pair.client.next_event()
    while event is not None:
        if isinstance(event, StreamDataReceived):
            received[event.stream_id] += event.data
        event = pair.client.next_event()
    ends = [data.endswith(GOAWAY_AFTER_FIRST_REQUEST) for data in received.values()]
    assert ends.count(True) == 1


def test_connection_is_fully_acknowledged_once_all_stream_data_is() -> None:
    pair = ConnectionPair()
    stream_id = pair.server.get_next_available_stream_id()
    pair.server.send_stream_data(stream_id, bytes(5000), end_stream=True)

    before = pair.server.is_fully_acknowledged
    pair.exchange()

    assert not before
    assert pair.server.is_fully_acknowledged
