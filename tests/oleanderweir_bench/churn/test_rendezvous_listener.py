from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.net import Datagram
from oleanderweir_balancer.drop_reason import DropReason
from oleanderweir_bench.churn import RendezvousListener
from tests.oleanderweir_balancer.fakes import ListenerBench
from tests.oleanderweir_balancer.fakes import make_backend_server


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration import BackendServer


CALLERS = [("127.0.0.9", port) for port in range(40000, 40200)]
SERVERS = [make_backend_server(f"bs-{number}", port=9000 + number) for number in (1, 2)]
ADDED = make_backend_server("bs-3", port=9003)
DRAINING = make_backend_server("bs-2", port=9002, is_draining=True)


def create_bench(servers: Sequence[BackendServer]) -> ListenerBench:
    bench = ListenerBench(backend_servers=servers)
    bench.listener = RendezvousListener(
        service_name="horaflujo",
        service_address=bench.service_address,
        socket=bench.front,
        back_socket=bench.back,
        connection_ids=bench.codec,
        envelopes=bench.envelopes,
        selector=bench.selector,
        opener=bench.opener,
        metrics=bench.metrics,
    )
    return bench


def route_all(servers: Sequence[BackendServer]) -> list[int]:
    bench = create_bench(servers)
    for caller in CALLERS:
        bench.listener.route(Datagram(data=b"\x40packet", source=caller))
    return [sent.source[1] for sent in bench.back.sent]


def test_every_balancer_sends_a_caller_to_the_same_agent() -> None:
    ports = route_all(SERVERS)

    assert ports == route_all(list(reversed(SERVERS)))
    assert 60 < ports.count(9001) < 140


def test_flows_move_only_to_an_added_backend_server() -> None:
    before = route_all(SERVERS)
    after = route_all([*SERVERS, ADDED])

    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {9003}
    assert 30 < len(moved) < 110


def test_a_draining_backend_server_receives_no_packets() -> None:
    assert set(route_all([SERVERS[0], DRAINING])) == {9001}


def test_without_backend_servers_packets_are_dropped() -> None:
    bench = create_bench([])

    bench.route(b"\x40packet")

    assert bench.dropped(DropReason.NO_BACKEND_SERVER) == 1
