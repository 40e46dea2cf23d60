from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.quic.incoming_request import MAX_BODY_BYTES
from tests.oleanderweir_agent.quic.caller_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.oleanderweir_agent.quic.agent_bench import AgentBench


H3_REQUEST_CANCELLED = 0x10C
LARGE_BODY_EXCHANGES = 40


async def test_request_receives_a_response(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)

    caller.request("/departures")
    await caller.exchange(agent)

    assert [request.path for request in agent.handler.handled] == ["/departures"]
    assert caller.statuses == [b"200"]


async def test_request_cancelled_by_the_caller_cancels_its_handler(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    stream_id = caller.request("/wait")
    await caller.exchange(agent)
    (connection,) = agent.endpoint.table.connections

    caller.quic.stop_stream(stream_id, H3_REQUEST_CANCELLED)
    await caller.exchange(agent)

    assert agent.handler.cancelled == 1
    assert connection.streams.requests == {}


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
    assert agent.endpoint.table.by_connection_id == {}


async def test_too_large_body_is_rejected(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)

    caller.request("/departures", body=bytes(MAX_BODY_BYTES + 1))
    for _ in range(LARGE_BODY_EXCHANGES):
        await caller.exchange(agent)

    assert caller.statuses == [b"413"]
    assert agent.handler.handled == []
