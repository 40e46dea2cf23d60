from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing
from aioquic.buffer import Buffer
from aioquic.quic.packet import pull_quic_header

from oleanderweir_agent.drop_reason import DropReason
from oleanderweir_agent.quic import connection_acceptor
from tests.oleanderweir_agent.quic.agent_bench import OTHER_SERVICE
from tests.oleanderweir_agent.quic.agent_bench import SERVICE
from tests.oleanderweir_agent.quic.agent_bench import AgentBench
from tests.oleanderweir_agent.quic.caller_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock


OTHER_CALLER = ("127.0.0.1", 50001)
TOKEN_LIFETIME_S = 15
CLOCK_SKEW_S = 5


@pytest.fixture
def first(nursery: trio.Nursery) -> AgentBench:
    agent = AgentBench(port=4433)
    nursery.start_soon(agent.endpoint.run)
    return agent


@pytest.fixture
def second(nursery: trio.Nursery) -> AgentBench:
    agent = AgentBench(port=4434)
    nursery.start_soon(agent.endpoint.run)
    return agent


def count_confirmed(*agents: AgentBench) -> int:
    return sum(
        connection.quic.is_confirmed
        for agent in agents
        for connection in agent.endpoint.table.connections
    )


async def test_retry_names_the_chosen_agent_and_creates_no_state(
    first: AgentBench, second: AgentBench, autojump_clock: MockClock
) -> None:
    first.chooser.choice = second.choice
    (initial,) = CallerBench().datagrams()

    (reply,) = await first.receive(initial)

    header = pull_quic_header(Buffer(data=reply.datagram))
    route = first.endpoint.issuer.codec.decode(header.source_cid)
    assert route.agent == second.address.packed
    assert route.incarnation == second.choice.incarnation
    assert first.endpoint.table.by_connection_id == {}


async def test_token_of_one_agent_is_accepted_by_another(
    first: AgentBench, second: AgentBench, autojump_clock: MockClock
) -> None:
    first.chooser.choice = second.choice
    caller = CallerBench()

    await caller.exchange(first, second)

    assert count_confirmed(first) == 0
    assert count_confirmed(second) == 1


@pytest.mark.parametrize(
    "wait_s",
    [TOKEN_LIFETIME_S + CLOCK_SKEW_S + 1, 3600],
    ids=["expired", "long-expired"],
)
async def test_expired_token_is_rejected(
    first: AgentBench, wait_s: int, autojump_clock: MockClock
) -> None:
    packet = await CallerBench().receive_retry(first)
    await trio.sleep(wait_s)

    assert await first.receive(packet) == []

    assert first.dropped(DropReason.INVALID_RETRY_TOKEN) == 1
    assert first.endpoint.table.by_connection_id == {}


async def test_token_of_another_caller_is_rejected(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = await CallerBench().receive_retry(first)

    assert await first.receive(packet, caller=OTHER_CALLER) == []

    assert first.dropped(DropReason.INVALID_RETRY_TOKEN) == 1


async def test_token_for_another_service_is_rejected(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = await CallerBench().receive_retry(first)

    assert await first.receive(packet, service=OTHER_SERVICE) == []

    assert first.dropped(DropReason.WRONG_SERVICE) == 1


async def test_token_with_another_connection_id_is_rejected(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = bytearray(await CallerBench().receive_retry(first))
    packet[6:26] = first.endpoint.issuer.issue(SERVICE.address.packed)

    assert await first.receive(bytes(packet)) == []

    assert first.dropped(DropReason.INVALID_RETRY_TOKEN) == 1


@pytest.mark.parametrize("is_reversed", [False, True], ids=["in-order", "reordered"])
async def test_opening_packet_at_two_agents_creates_one_connection(
    first: AgentBench,
    second: AgentBench,
    autojump_clock: MockClock,
    *,
    is_reversed: bool,
) -> None:
    caller = CallerBench()
    (initial,) = caller.datagrams()
    retries = [*await first.receive(initial), *await second.receive(initial)]

    caller.receive(retries[::-1] if is_reversed else retries)
    await caller.exchange(first, second)

    assert len(first.endpoint.table.connections) == int(not is_reversed)
    assert len(second.endpoint.table.connections) == int(is_reversed)
    assert count_confirmed(first, second) == 1


@pytest.mark.parametrize("is_reversed", [False, True], ids=["in-order", "reordered"])
async def test_packet_with_token_at_two_agents_confirms_one_connection(
    first: AgentBench,
    second: AgentBench,
    autojump_clock: MockClock,
    *,
    is_reversed: bool,
) -> None:
    caller = CallerBench()
    packet = await caller.receive_retry(first)
    replies = [*await first.receive(packet), *await second.receive(packet)]

    caller.receive(replies[::-1] if is_reversed else replies)
    caller.request()
    await caller.exchange(first, second)

    assert count_confirmed(first, second) == 1
    assert len(first.handler.handled) + len(second.handler.handled) == 1


async def test_duplicated_packets_create_one_connection(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    (initial,) = caller.datagrams()
    caller.receive([*await first.receive(initial), *await first.receive(initial)])
    (packet,) = caller.datagrams()

    caller.receive([*await first.receive(packet), *await first.receive(packet)])
    caller.request()
    await caller.exchange(first)

    assert len(first.endpoint.table.connections) == 1
    assert len(first.handler.handled) == 1


async def test_connections_over_the_limit_are_rejected(
    first: AgentBench, monkeypatch: pytest.MonkeyPatch, autojump_clock: MockClock
) -> None:
    monkeypatch.setattr(connection_acceptor, "MAX_CONNECTIONS", 1)
    await CallerBench().exchange(first)
    packet = await CallerBench().receive_retry(first)

    assert await first.receive(packet) == []

    assert len(first.endpoint.table.connections) == 1
    assert first.dropped(DropReason.TOO_MANY_CONNECTIONS) == 1


async def test_connections_of_one_batch_stay_within_the_limit(
    first: AgentBench, monkeypatch: pytest.MonkeyPatch, autojump_clock: MockClock
) -> None:
    monkeypatch.setattr(connection_acceptor, "MAX_CONNECTIONS", 1)
    packets = [await CallerBench().receive_retry(first) for _ in range(3)]

    for packet in packets:
        first.deliver(packet)
    await trio.testing.wait_all_tasks_blocked()

    assert len(first.endpoint.table.connections) == 1
    assert first.dropped(DropReason.TOO_MANY_CONNECTIONS) == 2
