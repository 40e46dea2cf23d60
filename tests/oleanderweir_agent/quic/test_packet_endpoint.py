from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from aioquic.buffer import Buffer
from aioquic.quic.packet import pull_quic_header

from oleanderweir.error_barrier import unexpected_errors
from oleanderweir_agent.drop_reason import DropReason
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir_agent.quic.agent_bench import BALANCER
from tests.oleanderweir_agent.quic.agent_bench import OTHER_BALANCER
from tests.oleanderweir_agent.quic.agent_bench import OTHER_SERVICE
from tests.oleanderweir_agent.quic.agent_bench import AgentBench
from tests.oleanderweir_agent.quic.caller_bench import CallerBench


if TYPE_CHECKING:
    import trio
    from trio.testing import MockClock


UNKNOWN_VERSION = b"\x1a\x2a\x3a\x4a"


async def test_packets_for_an_old_incarnation_are_dropped_and_counted(
    agent: AgentBench, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    restarted = AgentBench(port=4433, incarnation=8)
    nursery.start_soon(restarted.endpoint.run)
    caller.request()

    for packet in caller.datagrams():
        assert await restarted.receive(packet) == []

    assert restarted.dropped(DropReason.STALE_INCARNATION) == 1
    assert restarted.handler.handled == []


async def test_reply_to_an_unknown_version_lists_the_supported_versions(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    (initial,) = CallerBench().datagrams()

    (reply,) = await agent.receive(initial[:1] + UNKNOWN_VERSION + initial[5:])

    header = pull_quic_header(Buffer(data=reply.datagram))
    assert header.version == 0
    assert header.supported_versions == (
        agent.endpoint.quic_configuration.supported_versions
    )
    assert agent.endpoint.table.by_connection_id == {}


async def test_packet_of_another_service_is_dropped(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent)
    caller.request()

    for packet in caller.datagrams():
        assert await agent.receive(packet, service=OTHER_SERVICE) == []

    assert agent.dropped(DropReason.WRONG_SERVICE) == 1
    assert agent.handler.handled == []


async def test_unauthentic_envelope_is_dropped(
    agent: AgentBench, nursery: trio.Nursery, autojump_clock: MockClock
) -> None:
    foreign = AgentBench(keys=NEW_KEY)
    nursery.start_soon(foreign.endpoint.run)
    agent.to_agent = foreign.to_agent
    (initial,) = CallerBench().datagrams()

    assert await agent.receive(initial) == []

    assert agent.dropped(DropReason.INVALID_ENVELOPE) == 1


async def test_session_continues_through_another_balancer(
    agent: AgentBench, autojump_clock: MockClock
) -> None:
    caller = CallerBench()
    await caller.exchange(agent, balancer=BALANCER)
    caller.request()

    for packet in caller.datagrams():
        await agent.receive(packet, balancer=OTHER_BALANCER)

    assert len(agent.handler.handled) == 1
    assert agent.used_balancers[-1] == OTHER_BALANCER


@pytest.mark.unexpected_errors
async def test_an_unexpected_error_of_a_packet_ends_no_endpoint(
    agent: AgentBench, autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*arguments: object) -> None:
        raise IndexError("index out of range")

    with monkeypatch.context() as patch:
        patch.setattr(agent.endpoint, "_route_long_header", fail)
        (odd,) = CallerBench().datagrams()
        assert await agent.receive(odd) == []

    await CallerBench().exchange(agent)

    assert unexpected_errors == {"quic_datagram": 1}
