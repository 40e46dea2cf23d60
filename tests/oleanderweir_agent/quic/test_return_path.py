from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir_agent.quic.balancer_registry import RECENT_S
from oleanderweir_agent.quic.balancer_registry import BalancerRegistry
from oleanderweir_agent.quic.caller_connection import CallerConnection
from oleanderweir_agent.quic.return_path import ReturnPath
from tests.oleanderweir_agent.quic.sans_io import JoinedConnections


if TYPE_CHECKING:
    from oleanderweir_agent.requests import Request
    from oleanderweir_agent.requests import Responder


FIRST, SECOND, THIRD = (("127.0.0.2", port) for port in (1, 2, 3))
DEAD = ("127.0.0.2", 1000)
LIVE = ("127.0.0.3", 1000)
TICKS = 20
# By then the probe timer has backed off beyond the interval of the ticks.
FIRST_LATE_TICK = 14


class RecordingOwner:
    def __init__(self) -> None:
        self.balancers: list[tuple[str, int]] = []

    def add_connection_id(self, connection_id: bytes, owner: CallerConnection) -> None:
        pass

    def remove_connection_id(self, connection_id: bytes) -> None:
        pass

    def send(
        self,
        *,
        data: bytes,
        caller: tuple[str, int],
        service: bytes,
        balancer: tuple[str, int],
    ) -> None:
        self.balancers.append(balancer)


class NoHandler:
    async def handle(self, request: Request, responder: Responder) -> None:
        raise NotImplementedError


async def test_unacknowledged_ticks_take_both_balancers_although_they_put_probes_off(
    autojump_clock: trio.testing.MockClock,
) -> None:
    joined = JoinedConnections()
    # The connection was set up in its own time; bring trio's time behind it.
    await trio.sleep(joined.now)
    registry = BalancerRegistry()
    registry.note(LIVE)
    registry.note(DEAD)
    owner = RecordingOwner()
    connection = CallerConnection(
        quic=joined.server,
        service=Service(name="horaflujo", address=SocketAddress.parse("192.0.2.1:443")),
        return_path=ReturnPath(registry=registry, balancer=DEAD),
        owner=owner,
        handler=NoHandler(),
    )
    stream_id = joined.server.get_next_available_stream_id()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.run)
        for number in range(TICKS):
            if number == FIRST_LATE_TICK:
                owner.balancers.clear()
            joined.server.send_stream_data(stream_id, b"tick\n")
            connection.wake()
            await trio.sleep(1.0)
        nursery.cancel_scope.cancel()

    assert set(owner.balancers) == {DEAD, LIVE}


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
