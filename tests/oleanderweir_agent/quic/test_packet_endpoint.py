from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing
from aioquic.buffer import Buffer
from aioquic.quic.packet import pull_quic_header

from oleanderweir_agent.drop_reason import DropReason
from oleanderweir_agent.quic import packet_endpoint
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir_agent.quic.endpoint_bench import BALANCER
from tests.oleanderweir_agent.quic.endpoint_bench import OTHER_BALANCER
from tests.oleanderweir_agent.quic.endpoint_bench import OTHER_SERVICE
from tests.oleanderweir_agent.quic.endpoint_bench import SERVICE
from tests.oleanderweir_agent.quic.endpoint_bench import AgentBench
from tests.oleanderweir_agent.quic.endpoint_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock


OTHER_CALLER = ("127.0.0.1", 50001)
UNKNOWN_VERSION = b"\x1a\x2a\x3a\x4a"
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


async def receive_retry(caller: CallerBench, agent: AgentBench) -> bytes:
    """Receive an agent's Retry; return the Initial packet that carries its token."""
    (initial,) = caller.datagrams()
    caller.receive(await agent.receive(initial))
    (with_token,) = caller.datagrams()
    return with_token


def count_confirmed(*agents: AgentBench) -> int:
    return sum(
        connection.quic.is_confirmed
        for agent in agents
        for connection in agent.endpoint.connections
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
    assert first.endpoint.by_connection_id == {}


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
    packet = await receive_retry(CallerBench(), first)
    await trio.sleep(wait_s)

    assert await first.receive(packet) == []

    assert first.dropped(DropReason.INVALID_RETRY_TOKEN) == 1
    assert first.endpoint.by_connection_id == {}


async def test_token_of_another_caller_is_rejected(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = await receive_retry(CallerBench(), first)

    assert await first.receive(packet, caller=OTHER_CALLER) == []

    assert first.dropped(DropReason.INVALID_RETRY_TOKEN) == 1


async def test_token_for_another_service_is_rejected(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = await receive_retry(CallerBench(), first)

    assert await first.receive(packet, service=OTHER_SERVICE) == []

    assert first.dropped(DropReason.WRONG_SERVICE) == 1


async def test_token_with_another_connection_id_is_rejected(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = bytearray(await receive_retry(CallerBench(), first))
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

    assert len(first.endpoint.connections) == int(not is_reversed)
    assert len(second.endpoint.connections) == int(is_reversed)
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
    packet = await receive_retry(caller, first)
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

    assert len(first.endpoint.connections) == 1
    assert len(first.handler.handled) == 1


async def test_packets_for_an_old_incarnation_are_dropped_and_counted(
    first: AgentBench, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(first)
    restarted = AgentBench(port=4433, incarnation=8)
    nursery.start_soon(restarted.endpoint.run)
    caller.request()

    for packet in caller.datagrams():
        assert await restarted.receive(packet) == []

    assert restarted.dropped(DropReason.STALE_INCARNATION) == 1
    assert restarted.handler.handled == []


async def test_reply_to_an_unknown_version_lists_the_supported_versions(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    (initial,) = CallerBench().datagrams()

    (reply,) = await first.receive(initial[:1] + UNKNOWN_VERSION + initial[5:])

    header = pull_quic_header(Buffer(data=reply.datagram))
    assert header.version == 0
    assert header.supported_versions == (
        first.endpoint.quic_configuration.supported_versions
    )
    assert first.endpoint.by_connection_id == {}


async def test_connections_over_the_limit_are_rejected(
    first: AgentBench, monkeypatch: pytest.MonkeyPatch, autojump_clock: MockClock
) -> None:
    monkeypatch.setattr(packet_endpoint, "MAX_CONNECTIONS", 1)
    await CallerBench().exchange(first)
    packet = await receive_retry(CallerBench(), first)

    assert await first.receive(packet) == []

    assert len(first.endpoint.connections) == 1
    assert first.dropped(DropReason.TOO_MANY_CONNECTIONS) == 1


async def test_connections_of_one_batch_stay_within_the_limit(
    first: AgentBench, monkeypatch: pytest.MonkeyPatch, autojump_clock: MockClock
) -> None:
    monkeypatch.setattr(packet_endpoint, "MAX_CONNECTIONS", 1)
    packets = [await receive_retry(CallerBench(), first) for _ in range(3)]

    for packet in packets:
        first.deliver(packet)
    await trio.testing.wait_all_tasks_blocked()

    assert len(first.endpoint.connections) == 1
    assert first.dropped(DropReason.TOO_MANY_CONNECTIONS) == 2


async def test_packet_of_another_service_is_dropped(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(first)
    caller.request()

    for packet in caller.datagrams():
        assert await first.receive(packet, service=OTHER_SERVICE) == []

    assert first.dropped(DropReason.WRONG_SERVICE) == 1
    assert first.handler.handled == []


async def test_unauthentic_envelope_is_dropped(
    first: AgentBench, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    foreign = AgentBench(keys=NEW_KEY)
    nursery.start_soon(foreign.endpoint.run)
    first.to_agent = foreign.to_agent
    (initial,) = CallerBench().datagrams()

    assert await first.receive(initial) == []

    assert first.dropped(DropReason.INVALID_ENVELOPE) == 1


async def test_session_continues_through_another_balancer(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(first, balancer=BALANCER)
    caller.request()

    for packet in caller.datagrams():
        await first.receive(packet, balancer=OTHER_BALANCER)

    assert len(first.handler.handled) == 1
    assert first.used_balancers[-1] == OTHER_BALANCER


async def test_closed_connection_leaves_no_connection_id(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(first)
    assert len(first.endpoint.by_connection_id) >= 8

    caller.quic.close()
    await caller.exchange(first)
    await trio.sleep(60)

    assert first.endpoint.by_connection_id == {}
    assert first.endpoint.connections == set()
    assert first.metrics.sessions._value.get() == 0


async def test_abandoned_handshake_leaves_no_connection_id(
    first: AgentBench, autojump_clock: MockClock
) -> None:
    packet = await receive_retry(CallerBench(), first)
    await first.receive(packet)
    assert len(first.endpoint.connections) == 1

    await trio.sleep(600)

    assert first.endpoint.by_connection_id == {}
    assert first.endpoint.connections == set()
