from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import pytest
import trio
from aioquic.h3.events import DataReceived

from oleanderweir_agent.quic.stream_responder import MAX_BUFFERED_BYTES
from oleanderweir_agent.quic.stream_responder import StreamResponder
from oleanderweir_agent.requests import ResponseHead
from tests.oleanderweir_agent.quic.agent_bench import AgentBench
from tests.oleanderweir_agent.quic.caller_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock

    from oleanderweir_agent.requests import Request
    from oleanderweir_agent.requests import Responder


PART_BYTES = 64 * 1024
LARGE_PARTS = 32
FRAME_HEADER_BYTES = 8
MAX_EXCHANGES = 400


class PathEchoHandler:
    """Responds with the path; ``/first`` after a delay, ``/large`` in many parts."""

    def __init__(self) -> None:
        self.peak_buffered_bytes = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        if request.path == "/first":
            await trio.sleep(0.2)
        await responder.send_head(ResponseHead(status=200, headers=()))
        if request.path == "/large":
            for number in range(LARGE_PARTS):
                await responder.send_data(bytes([number]) * PART_BYTES)
                assert isinstance(responder, StreamResponder)
                quic = responder.connection.quic
                buffered_bytes = quic.buffered_bytes(responder.stream_id)
                self.peak_buffered_bytes = max(self.peak_buffered_bytes, buffered_bytes)
        else:
            await responder.send_data(request.path.encode())
        await responder.finish()


@pytest.fixture
def agent(nursery: trio.Nursery) -> AgentBench:
    bench = AgentBench()
    bench.endpoint.acceptor.handler = PathEchoHandler()
    nursery.start_soon(bench.endpoint.run)
    return bench


def collect_bodies(caller: CallerBench) -> dict[int, bytes]:
    received: defaultdict[int, bytes] = defaultdict(bytes)
    for event in caller.events:
        if isinstance(event, DataReceived):
            received[event.stream_id] += event.data
    return dict(received)


def is_complete(caller: CallerBench, stream_id: int) -> bool:
    return any(
        isinstance(event, DataReceived)
        and event.stream_id == stream_id
        and event.stream_ended
        for event in caller.events
    )


async def test_responses_out_of_order_reach_their_own_requests(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)

    first = caller.request("/first")
    second = caller.request("/second")
    await caller.exchange(agent)
    await caller.exchange(agent)

    assert collect_bodies(caller) == {first: b"/first", second: b"/second"}
    stream_ids = [
        event.stream_id for event in caller.events if isinstance(event, DataReceived)
    ]
    assert stream_ids.index(second) < stream_ids.index(first)


async def test_a_large_response_arrives_in_order_and_is_buffered_up_to_the_limit(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    handler = agent.endpoint.acceptor.handler
    assert isinstance(handler, PathEchoHandler)
    caller = CallerBench()
    await caller.exchange(agent)

    stream_id = caller.request("/large")
    for _ in range(MAX_EXCHANGES):
        await caller.exchange(agent)
        if is_complete(caller, stream_id):
            break

    expected = b"".join(bytes([n]) * PART_BYTES for n in range(LARGE_PARTS))
    assert collect_bodies(caller)[stream_id] == expected
    assert is_complete(caller, stream_id)
    bound = MAX_BUFFERED_BYTES + PART_BYTES + FRAME_HEADER_BYTES
    assert MAX_BUFFERED_BYTES <= handler.peak_buffered_bytes <= bound
