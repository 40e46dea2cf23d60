from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir.envelope import Envelope
from oleanderweir.error_barrier import unexpected_errors
from oleanderweir.net import Datagram
from oleanderweir.net import pack_sockaddr
from oleanderweir_balancer.drop_reason import DropReason
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers import OLD_KEY
from tests.oleanderweir_balancer.fakes import CALLER
from tests.oleanderweir_balancer.fakes import ListenerBench
from tests.oleanderweir_balancer.fakes import make_backend_server


OTHER_SERVICE = "192.0.2.2:443"


def short_packet(connection_id: bytes) -> bytes:
    return b"\x40" + connection_id + b"payload"


def initial_packet(connection_id: bytes = b"8bytes!!", length: int = 1200) -> bytes:
    head = b"\xc0\0\0\0\x01" + bytes([len(connection_id)]) + connection_id
    return (head + b"\x08callers!").ljust(length, b"\0")


def handshake_packet(connection_id: bytes) -> bytes:
    return b"\xe0" + initial_packet(connection_id)[1:]


def make_bench() -> ListenerBench:
    server = make_backend_server("bs-1", port=9001)
    return ListenerBench(backend_servers=[server])


@pytest.mark.parametrize(
    "make_packet", [short_packet, handshake_packet], ids=["short", "handshake"]
)
def test_established_packet_goes_to_the_agent_that_its_id_names(
    make_packet: object,
) -> None:
    bench = make_bench()
    assert callable(make_packet)
    packet = make_packet(bench.issue_connection_id(agent="127.0.0.7:9007"))

    bench.route(packet)

    assert bench.back.sent[0].source == ("127.0.0.7", 9007)
    assert bench.sent_envelope() == Envelope(
        service=bench.service_address.packed,
        caller=pack_sockaddr(CALLER),
        datagram=packet,
    )


def test_established_packet_needs_no_configuration() -> None:
    bench = ListenerBench(backend_servers=[])

    bench.route(short_packet(bench.issue_connection_id()))

    assert len(bench.back.sent) == 1


def test_packet_of_another_service_is_dropped() -> None:
    bench = make_bench()

    bench.route(short_packet(bench.issue_connection_id(address=OTHER_SERVICE)))
    bench.route(initial_packet(bench.issue_connection_id(address=OTHER_SERVICE)))
    bench.route(handshake_packet(bench.issue_connection_id(address=OTHER_SERVICE)))

    assert bench.back.sent == []
    assert bench.dropped(DropReason.WRONG_SERVICE) == 3


async def test_new_flow_goes_to_an_agent_of_its_service_only() -> None:
    other = make_backend_server("bs-9", service="boletin", port=9009)
    own = make_backend_server("bs-1", port=9001)
    bench = ListenerBench(backend_servers=[other, own])

    for number in range(50):
        bench.route(initial_packet(bytes([number]) * 8))

    assert {datagram.source for datagram in bench.back.sent} == {("127.0.0.1", 9001)}


async def test_initial_packet_after_retry_goes_to_the_agent_that_the_retry_named() -> (
    None
):
    bench = make_bench()

    bench.route(initial_packet(bench.issue_connection_id(agent="127.0.0.7:9007")))

    assert bench.back.sent[0].source == ("127.0.0.7", 9007)


@pytest.mark.parametrize(
    ("packet", "reason"),
    [
        (initial_packet(length=1199), DropReason.INITIAL_TOO_SHORT),
        (handshake_packet(b"x" * 20), DropReason.UNKNOWN_CONNECTION_ID),
        (short_packet(b"x" * 20), DropReason.UNKNOWN_CONNECTION_ID),
        (b"", DropReason.UNKNOWN_CONNECTION_ID),
        (b"\xc0\0\0", DropReason.INVALID_PACKET),
    ],
    ids=["short-initial", "foreign-handshake", "foreign", "empty", "truncated"],
)
def test_packet_that_names_no_agent_is_dropped(
    packet: bytes, reason: DropReason
) -> None:
    bench = make_bench()

    bench.route(packet)

    assert bench.back.sent == []
    assert bench.dropped(reason) == 1


def test_new_flow_of_a_removed_service_is_dropped_and_an_old_one_is_not() -> None:
    bench = make_bench()
    bench.listener.service_name = None

    bench.route(initial_packet())
    bench.route(short_packet(bench.issue_connection_id()))

    assert bench.dropped(DropReason.SERVICE_REMOVED) == 1
    assert len(bench.back.sent) == 1


@given(st.binary(max_size=64))
def test_unauthentic_bytes_are_never_forwarded(data: bytes) -> None:
    bench = make_bench()

    bench.route(data)

    assert bench.back.sent == []


@given(
    st.sampled_from([short_packet, handshake_packet]),
    st.integers(0, 159),
    st.integers(0, 400),
)
def test_forged_or_truncated_ids_are_never_forwarded(
    make_packet: object, bit: int, length: int
) -> None:
    bench = make_bench()
    assert callable(make_packet)
    forged = bytearray(bench.issue_connection_id())
    forged[bit // 8] ^= 1 << bit % 8

    bench.route(make_packet(bytes(forged)))
    bench.route(make_packet(bench.issue_connection_id())[: min(length, 20)])

    assert bench.back.sent == []


@given(st.integers(1, 65535), st.integers(0, 2**32 - 1))
def test_replayed_packet_reaches_its_own_agent_and_service_only(
    port: int, host: int
) -> None:
    own = make_bench()
    other = ListenerBench(service="boletin", address=OTHER_SERVICE)
    packet = short_packet(own.issue_connection_id(agent=f"127.0.0.1:{port}"))

    for bench in (own, own, other):
        bench.route(packet, caller=(f"127.1.{host % 256}.1", 1000))

    assert [datagram.source[1] for datagram in own.back.sent] == [port, port]
    assert other.back.sent == []


def test_packets_of_both_keys_are_routed_during_a_rotation() -> None:
    before = ListenerBench(keys=OLD_KEY)
    during = ListenerBench(keys=f"{NEW_KEY},{OLD_KEY}")

    during.route(short_packet(before.issue_connection_id()))
    during.route(short_packet(during.issue_connection_id()))

    assert len(during.back.sent) == 2


@pytest.mark.unexpected_errors
def test_a_packet_that_raises_costs_no_other_packet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = make_bench()
    good = short_packet(bench.issue_connection_id(agent="127.0.0.7:9007"))
    odd = initial_packet(b"odd")

    def fail(datagram: Datagram) -> None:
        raise IndexError("index out of range")

    monkeypatch.setattr(bench.listener, "_route_long", fail)
    batch = [Datagram(data=data, source=CALLER) for data in (odd, good)]

    bench.listener.route_batch(batch)

    assert [sent.source for sent in bench.back.sent] == [("127.0.0.7", 9007)]
    assert unexpected_errors == {"caller_datagram": 1}
