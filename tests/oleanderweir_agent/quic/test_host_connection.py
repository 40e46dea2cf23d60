from __future__ import annotations

from collections import defaultdict
from importlib.metadata import version

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.events import ConnectionIdIssued
from aioquic.quic.events import StreamDataReceived

from oleanderweir_agent.quic.host_connection import HostH3Connection
from tests.oleanderweir_agent.quic.sans_io import INCARNATION
from tests.oleanderweir_agent.quic.sans_io import SERVICE
from tests.oleanderweir_agent.quic.sans_io import JoinedConnections
from tests.oleanderweir_agent.quic.sans_io import make_issuer


GOAWAY_AFTER_FIRST_REQUEST = b"\x07\x01\x04"
GET = [
    (b":method", b"GET"),
    (b":scheme", b"https"),
    (b":authority", b"test"),
    (b":path", b"/"),
]


def test_aioquic_is_the_version_that_this_module_was_written_for() -> None:
    assert version("aioquic") == "1.7.2"


def test_every_connection_id_names_agent_incarnation_and_service() -> None:
    joined = JoinedConnections()
    issuer = make_issuer()

    issued = joined.server.host_connection_ids

    assert len(issued) == 8
    assert len(set(issued)) == 8
    for data in issued:
        route = issuer.codec.decode(data)
        assert route.agent == issuer.agent
        assert route.incarnation == INCARNATION
        assert route.service_tag == issuer.codec.issuing_service_tag(SERVICE)


def test_established_packets_carry_issued_connection_ids_only() -> None:
    joined = JoinedConnections()
    joined.to_server.clear()
    for _ in range(20):
        joined.client.send_ping(1)
        joined.client.change_connection_id()
        joined.exchange()

    codec = make_issuer().codec

    assert len(joined.to_server) >= 20
    for data in joined.to_server:
        assert codec.decode(data[1:21]).incarnation == INCARNATION


def test_issued_connection_ids_are_reported() -> None:
    joined = JoinedConnections()
    reported = set()
    event = joined.server.next_event()
    while event is not None:
        if isinstance(event, ConnectionIdIssued):
            reported.add(event.connection_id)
        event = joined.server.next_event()

    assert set(joined.server.host_connection_ids[1:]) <= reported


def test_unsent_bytes_fall_to_zero_once_acknowledged() -> None:
    joined = JoinedConnections()
    stream_id = joined.server.get_next_available_stream_id()
    joined.server.send_stream_data(stream_id, bytes(5000))

    before = joined.server.unsent_bytes(stream_id)
    joined.exchange()

    assert before == 5000
    assert joined.server.unsent_bytes(stream_id) == 0


def test_probe_count_rises_while_nothing_is_acknowledged() -> None:
    joined = JoinedConnections()
    joined.server.send_ping(1)
    joined.server.datagrams_to_send(joined.now)
    timer = joined.server.get_timer()
    assert timer is not None

    joined.server.handle_timer(timer)

    assert joined.server.probe_count == 1
    joined.now = timer
    joined.exchange()
    assert joined.server.probe_count == 0


def test_goaway_names_the_next_request() -> None:
    joined = JoinedConnections()
    server = HostH3Connection(quic=joined.server)
    client = H3Connection(joined.client)
    stream_id = joined.client.get_next_available_stream_id()
    client.send_headers(stream_id, GET, end_stream=True)
    joined.exchange()
    event = joined.server.next_event()
    while event is not None:
        for h3_event in server.handle_event(event):
            if isinstance(h3_event, HeadersReceived):
                server.note_request(h3_event.stream_id)
        event = joined.server.next_event()

    server.send_goaway()
    joined.exchange()

    received: defaultdict[int, bytes] = defaultdict(bytes)
    event = joined.client.next_event()
    while event is not None:
        if isinstance(event, StreamDataReceived):
            received[event.stream_id] += event.data
        event = joined.client.next_event()
    ends = [data.endswith(GOAWAY_AFTER_FIRST_REQUEST) for data in received.values()]
    assert ends.count(True) == 1


def test_a_connection_is_flushed_once_all_is_acknowledged() -> None:
    joined = JoinedConnections()
    stream_id = joined.server.get_next_available_stream_id()
    joined.server.send_stream_data(stream_id, bytes(5000), end_stream=True)

    before = joined.server.is_flushed
    joined.exchange()

    assert not before
    assert joined.server.is_flushed
