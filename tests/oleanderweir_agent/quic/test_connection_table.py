from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.oleanderweir_agent.quic.caller_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.oleanderweir_agent.quic.agent_bench import AgentBench


H3_REQUEST_CANCELLED = 0x10C


async def test_closed_connection_leaves_no_connection_id(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    assert len(agent.endpoint.table.by_connection_id) >= 8

    caller.quic.close()
    await caller.exchange(agent)
    await trio.sleep(60)

    assert agent.endpoint.table.by_connection_id == {}
    assert agent.endpoint.table.connections == set()
    assert agent.metrics.sessions._value.get() == 0


async def test_abandoned_handshake_leaves_no_connection_id(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    packet = await CallerBench().receive_retry(agent)
    await agent.receive(packet)
    assert len(agent.endpoint.table.connections) == 1

    await trio.sleep(600)

    assert agent.endpoint.table.by_connection_id == {}
    assert agent.endpoint.table.connections == set()


async def test_wait_requests_completed_waits_for_a_request_in_flight(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    stream_id = caller.request("/wait")
    await caller.exchange(agent)
    with trio.move_on_after(5) as open_request:
        await agent.endpoint.table.wait_requests_completed()

    caller.quic.stop_stream(stream_id, H3_REQUEST_CANCELLED)
    await caller.exchange(agent)
    with trio.move_on_after(5) as no_request:
        await agent.endpoint.table.wait_requests_completed()

    assert open_request.cancelled_caught
    assert not no_request.cancelled_caught
