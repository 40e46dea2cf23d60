from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir_agent.quic.balancer_registry import RECENT_WINDOW_S
from oleanderweir_agent.quic.balancer_registry import BalancerRegistry
from oleanderweir_agent.quic.caller_connection import CallerConnection
from oleanderweir_agent.quic.connection_table import ConnectionTable
from oleanderweir_agent.quic.return_path import ReturnPath
from tests.oleanderweir_agent.quic.connection_pair import ConnectionPair


if TYPE_CHECKING:
    from oleanderweir_agent.requests import Request
    from oleanderweir_agent.requests import Responder


FIRST, SECOND, THIRD = (("127.0.0.2", port) for port in (1, 2, 3))
DEAD = ("127.0.0.2", 1000)
LIVE = ("127.0.0.3", 1000)
TICKS = 20
# By this tick the probe timer has backed off beyond the interval of the ticks.
FIRST_LATE_TICK = 14


class RecordingSender:
    def __init__(self) -> None:
        self.balancers: list[tuple[str, int]] = []

    def send(
        self,
        *,
        data: bytes,
        caller: tuple[str, int],
        service: bytes,
        balancer: tuple[str, int],
    ) -> None:
        self.balancers.append(balancer)


class UnusedHandler:
    async def handle(self, request: Request, responder: Responder) -> None:
        raise NotImplementedError


async def test_unacknowledged_bursts_alternate_balancers_while_they_postpone_probes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    pair = ConnectionPair()
    # The handshake ran on the pair's own clock; advance trio's clock to match.
    await trio.sleep(pair.now)
    registry = BalancerRegistry()
    registry.record(LIVE)
    registry.record(DEAD)
    sender = RecordingSender()
    connection = CallerConnection(
        quic=pair.server,
        service=Service(name="horaflujo", address=SocketAddress.parse("192.0.2.1:443")),
        return_path=ReturnPath(registry=registry, balancer=DEAD),
        table=ConnectionTable(),
        sender=sender,
        handler=UnusedHandler(),
    )
    stream_id = pair.server.get_next_available_stream_id()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.run)
        for number in range(TICKS):
            if number == FIRST_LATE_TICK:
                sender.balancers.clear()
            pair.server.send_stream_data(stream_id, b"tick\n")
            connection.wake()
            await trio.sleep(1.0)
        nursery.cancel_scope.cancel()

    assert set(sender.balancers) == {DEAD, LIVE}


def test_a_single_balancer_stays_selected() -> None:
    path = ReturnPath(registry=BalancerRegistry(), balancer=FIRST)

    path.on_unacknowledged_burst()

    assert path.balancer == FIRST


async def test_unacknowledged_bursts_use_every_other_balancer_in_turn(
    autojump_clock: trio.testing.MockClock,
) -> None:
    registry = BalancerRegistry()
    for balancer in (FIRST, SECOND, THIRD):
        registry.record(balancer)
    path = ReturnPath(registry=registry, balancer=FIRST)
    chosen = []

    for _ in range(4):
        path.on_unacknowledged_burst()
        chosen.append(path.balancer)

    assert chosen == [SECOND, THIRD, FIRST, SECOND]


async def test_a_balancer_without_recent_packets_is_omitted_if_another_has_some(
    autojump_clock: trio.testing.MockClock,
) -> None:
    registry = BalancerRegistry()
    registry.record(FIRST)
    await trio.sleep(2 * RECENT_WINDOW_S)
    registry.record(SECOND)

    assert registry.others(THIRD) == [SECOND]


async def test_the_most_recent_balancers_remain_if_none_has_recent_packets(
    autojump_clock: trio.testing.MockClock,
) -> None:
    registry = BalancerRegistry()
    registry.record(FIRST)
    await trio.sleep(2 * RECENT_WINDOW_S)
    registry.record(SECOND)
    await trio.sleep(2 * RECENT_WINDOW_S)

    assert registry.others(SECOND) == [FIRST]
