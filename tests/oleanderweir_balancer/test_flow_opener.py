from __future__ import annotations

import pytest
import trio

from oleanderweir.envelope import Envelope
from oleanderweir.net import pack_sockaddr
from oleanderweir_balancer.flow_opener import HEDGE_DELAY_S
from tests.oleanderweir_balancer.fakes import CALLER
from tests.oleanderweir_balancer.fakes import ListenerBench
from tests.oleanderweir_balancer.fakes import make_backend_server
from tests.oleanderweir_balancer.test_service_listener import initial_packet


@pytest.fixture
def bench(nursery: trio.Nursery) -> ListenerBench:
    servers = [make_backend_server(f"bs-{port}", port=port) for port in (9001, 9002)]
    bench = ListenerBench(backend_servers=servers)
    nursery.start_soon(bench.opener.run)
    return bench


async def test_unanswered_flow_is_hedged_once_to_another_agent(
    bench: ListenerBench, autojump_clock: trio.testing.MockClock
) -> None:
    bench.route(initial_packet())
    await trio.sleep(10 * HEDGE_DELAY_S)

    first, second = bench.back.sent
    assert first.data == second.data
    assert {first.source[1], second.source[1]} == {9001, 9002}


async def test_answered_flow_is_not_hedged(
    bench: ListenerBench, autojump_clock: trio.testing.MockClock
) -> None:
    bench.route(initial_packet())
    bench.listener.send_to_caller(
        Envelope(
            service=bench.service_address.packed,
            caller=pack_sockaddr(CALLER),
            datagram=b"\xf0\0\0\0\x01\x08callers!\x04host",
        )
    )
    await trio.sleep(10 * HEDGE_DELAY_S)

    assert len(bench.back.sent) == 1


async def test_silent_agent_gets_no_new_flow_while_ejected(
    bench: ListenerBench, autojump_clock: trio.testing.MockClock
) -> None:
    bench.route(initial_packet())
    silent = bench.back.sent[0].source
    await trio.sleep(2 * HEDGE_DELAY_S)
    bench.back.sent.clear()
    for number in range(20):
        bench.route(initial_packet(bytes([number]) * 8))

    assert silent not in {datagram.source for datagram in bench.back.sent}
