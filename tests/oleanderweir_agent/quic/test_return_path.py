from __future__ import annotations

import trio

from oleanderweir_agent.quic.balancer_registry import RECENT_S
from oleanderweir_agent.quic.balancer_registry import BalancerRegistry
from oleanderweir_agent.quic.return_path import ReturnPath


FIRST, SECOND, THIRD = (("127.0.0.2", port) for port in (1, 2, 3))


def test_a_lone_balancer_is_kept() -> None:
    path = ReturnPath(registry=BalancerRegistry(), balancer=FIRST)

    path.note_unacknowledged()

    assert path.balancer == FIRST


async def test_unacknowledged_bursts_take_every_other_balancer_in_turn(
    autojump_clock: trio.testing.MockClock,
) -> None:
    registry = BalancerRegistry()
    for balancer in (FIRST, SECOND, THIRD):
        registry.note(balancer)
    path = ReturnPath(registry=registry, balancer=FIRST)
    taken = []

    for _ in range(4):
        path.note_unacknowledged()
        taken.append(path.balancer)

    assert taken == [SECOND, THIRD, FIRST, SECOND]


async def test_a_balancer_that_fell_silent_is_left_out_while_another_is_heard(
    autojump_clock: trio.testing.MockClock,
) -> None:
    registry = BalancerRegistry()
    registry.note(FIRST)
    await trio.sleep(2 * RECENT_S)
    registry.note(SECOND)

    assert registry.others(THIRD) == [SECOND]


async def test_the_last_heard_balancers_are_kept_when_all_are_quiet(
    autojump_clock: trio.testing.MockClock,
) -> None:
    registry = BalancerRegistry()
    registry.note(FIRST)
    await trio.sleep(2 * RECENT_S)
    registry.note(SECOND)
    await trio.sleep(2 * RECENT_S)

    assert registry.others(SECOND) == [FIRST]
