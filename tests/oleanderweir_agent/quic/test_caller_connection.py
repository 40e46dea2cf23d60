from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from tests.oleanderweir_agent.quic.agent_bench import BALANCER
from tests.oleanderweir_agent.quic.agent_bench import OTHER_BALANCER
from tests.oleanderweir_agent.quic.agent_bench import AgentBench
from tests.oleanderweir_agent.quic.caller_bench import CallerBench


if TYPE_CHECKING:
    from trio.testing import MockClock


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

    agent.endpoint.table.send_goaway()
    await trio.testing.wait_all_tasks_blocked()

    assert len(agent.pop_sent()) == 1
    caller.request()
    await caller.exchange(agent)
    assert caller.statuses == [b"200"]
