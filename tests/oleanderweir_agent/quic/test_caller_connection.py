from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing
from aioquic.h3.events import HeadersReceived

from oleanderweir_agent.quic.incoming_request import MAX_BODY_BYTES
from tests.oleanderweir_agent.quic.endpoint_bench import BALANCER
from tests.oleanderweir_agent.quic.endpoint_bench import OTHER_BALANCER
from tests.oleanderweir_agent.quic.endpoint_bench import AgentBench
from tests.oleanderweir_agent.quic.endpoint_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock


H3_REQUEST_CANCELLED = 0x10C
LARGE_BODY_EXCHANGES = 40


@pytest.fixture
def agent(nursery: trio.Nursery) -> AgentBench:
    bench = AgentBench()
    nursery.start_soon(bench.endpoint.run)
    return bench


def collect_statuses(caller: CallerBench) -> list[bytes]:
    return [
        dict(event.headers)[b":status"]
        for event in caller.events
        if isinstance(event, HeadersReceived)
    ]


async def test_request_receives_a_response(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)

    caller.request("/departures")
    await caller.exchange(agent)

    assert [request.path for request in agent.handler.handled] == ["/departures"]
    assert collect_statuses(caller) == [b"200"]


async def test_request_cancelled_by_the_caller_cancels_its_handler(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    stream_id = caller.request("/wait")
    await caller.exchange(agent)
    (connection,) = agent.endpoint.connections

    caller.quic.stop_stream(stream_id, H3_REQUEST_CANCELLED)
    await caller.exchange(agent)

    assert agent.handler.cancelled == 1
    assert connection.requests == {}


async def test_closed_session_cancels_its_requests(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    caller.request("/wait")
    await caller.exchange(agent)

    caller.quic.close()
    await caller.exchange(agent)
    await trio.sleep(60)

    assert agent.handler.cancelled == 1
    assert agent.endpoint.by_connection_id == {}


async def test_too_large_body_is_rejected(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)

    caller.request("/departures", body=bytes(MAX_BODY_BYTES + 1))
    for _ in range(LARGE_BODY_EXCHANGES):
        await caller.exchange(agent)

    assert collect_statuses(caller) == [b"413"]
    assert agent.handler.handled == []


async def test_response_uses_another_balancer_after_a_probe_timeout(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    await CallerBench().exchange(agent, balancer=OTHER_BALANCER)
    caller = CallerBench()
    await caller.exchange(agent, balancer=BALANCER)
    caller.request()
    for packet in caller.datagrams():
        await agent.receive(packet, balancer=BALANCER)
    assert agent.used_balancers[-1] == BALANCER

    await trio.sleep(2)
    agent.pop_sent()

    assert OTHER_BALANCER in agent.used_balancers[-2:]


async def test_goaway_is_sent_and_later_requests_are_still_served(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    agent.pop_sent()

    agent.endpoint.send_goaway()
    await trio.testing.wait_all_tasks_blocked()

    assert len(agent.pop_sent()) == 1
    caller.request()
    await caller.exchange(agent)
    assert collect_statuses(caller) == [b"200"]


async def test_wait_requests_completed_waits_for_a_request_in_flight(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    stream_id = caller.request("/wait")
    await caller.exchange(agent)
    with trio.move_on_after(5) as open_request:
        await agent.endpoint.wait_requests_completed()

    caller.quic.stop_stream(stream_id, H3_REQUEST_CANCELLED)
    await caller.exchange(agent)
    with trio.move_on_after(5) as no_request:
        await agent.endpoint.wait_requests_completed()

    assert open_request.cancelled_caught
    assert not no_request.cancelled_caught
