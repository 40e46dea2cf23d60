from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from oleanderweir.net import SocketAddress
from oleanderweir_bench.exceptions import BindError
from oleanderweir_bench.fabric import Conditions
from oleanderweir_bench.fabric import Direction
from oleanderweir_bench.fabric import FabricStandIn
from oleanderweir_bench.fabric import PacketRecord
from oleanderweir_bench.fabric.caller_socket import open_udp_socket


if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from trio.testing import MockClock


SETTLE_S = 2**-5


@attrs.define(kw_only=True, eq=False)
class FabricHarness:
    fabric: FabricStandIn
    caller: socket.socket
    balancers: list[socket.socket]
    records: list[PacketRecord]

    def send(self, count: int) -> None:
        for number in range(count):
            self.caller.sendto(b"%d" % number, self.fabric.service_address.sockaddr)


def address_of(udp: socket.socket) -> SocketAddress:
    host, port = udp.getsockname()
    return SocketAddress(host=host, port=port)


def receive_queued(udp: socket.socket) -> Iterator[tuple[bytes, tuple[str, int]]]:
    while True:
        try:
            yield udp.recvfrom(2048)
        except BlockingIOError:
            return


@pytest.fixture
async def harness(autojump_clock: MockClock) -> AsyncIterator[FabricHarness]:
    # Packets need real time to cross the loopback interface.
    autojump_clock.autojump_threshold = 0.02
    async with open_harness() as opened:
        yield opened


@asynccontextmanager
async def open_harness() -> AsyncIterator[FabricHarness]:
    caller = open_udp_socket("127.0.0.1")
    balancers = [open_udp_socket("127.0.0.1") for _ in range(3)]
    with open_udp_socket("127.0.0.1") as reserved:
        service_address = address_of(reserved)
    records: list[PacketRecord] = []
    fabric = FabricStandIn(
        service_address=service_address,
        balancers=[address_of(balancer) for balancer in balancers],
        random=random.Random(7),
        idle_timeout_s=30.0,
        record=records.append,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(fabric.run)
        yield FabricHarness(
            fabric=fabric, caller=caller, balancers=balancers, records=records
        )
        nursery.cancel_scope.cancel()
    for udp in [caller, *balancers]:
        udp.close()


async def test_packets_of_one_caller_are_spread_over_all_balancers(
    autojump_clock: MockClock, harness: FabricHarness
) -> None:
    harness.send(60)
    await trio.sleep(SETTLE_S)

    received_packets = [
        list(receive_queued(balancer)) for balancer in harness.balancers
    ]
    assert sorted(int(data) for part in received_packets for data, _ in part) == list(
        range(60)
    )
    assert all(len(part) > 10 for part in received_packets)
    assert len({source for part in received_packets for _, source in part}) == 1


async def test_packets_of_any_balancer_come_from_the_service_address(
    autojump_clock: MockClock, harness: FabricHarness
) -> None:
    harness.send(1)
    await trio.sleep(SETTLE_S)
    [caller_socket] = harness.fabric.caller_sockets.values()
    for balancer in harness.balancers:
        balancer.sendto(b"answer", caller_socket.socket.getsockname())
    await trio.sleep(SETTLE_S)

    replies = list(receive_queued(harness.caller))
    assert replies == [(b"answer", harness.fabric.service_address.sockaddr)] * 3
    directions = [record.direction for record in harness.records]
    assert directions == [Direction.TO_BALANCER] + [Direction.TO_CALLER] * 3


async def test_packets_of_unknown_senders_are_dropped(
    autojump_clock: MockClock, harness: FabricHarness
) -> None:
    harness.send(1)
    await trio.sleep(SETTLE_S)
    [caller_socket] = harness.fabric.caller_sockets.values()
    with open_udp_socket("127.0.0.1") as unknown_sender:
        unknown_sender.sendto(b"forged", caller_socket.socket.getsockname())
        await trio.sleep(SETTLE_S)

    assert list(receive_queued(harness.caller)) == []
    assert harness.fabric.counters.dropped_strange == 1


async def test_balancers_can_be_removed_while_packets_are_sent(
    autojump_clock: MockClock, harness: FabricHarness
) -> None:
    for balancer in harness.balancers[:2]:
        harness.fabric.remove_balancer(address_of(balancer))
    harness.send(5)
    await trio.sleep(SETTLE_S)
    harness.fabric.remove_balancer(address_of(harness.balancers[2]))
    harness.send(2)
    await trio.sleep(SETTLE_S)

    counts = [len(list(receive_queued(balancer))) for balancer in harness.balancers]
    assert counts == [0, 0, 5]
    assert harness.fabric.counters.dropped_without_balancer == 2


@pytest.mark.parametrize(
    ("conditions", "counts"),
    [
        (Conditions(loss=1.0), (0, 0)),
        (Conditions(cut_hosts=frozenset({"127.0.0.1"})), (0, 0)),
        (Conditions(delay_s=5.0), (0, 20)),
        (Conditions(duplication=1.0), (40, 40)),
        (Conditions(reorder=1.0, reorder_delay_s=5.0), (0, 20)),
    ],
    ids=["loss", "cut", "delay", "duplication", "reorder"],
)
async def test_conditions_are_applied(
    autojump_clock: MockClock,
    harness: FabricHarness,
    conditions: Conditions,
    counts: tuple[int, int],
) -> None:
    harness.fabric.conditions = conditions
    harness.send(20)
    await trio.sleep(SETTLE_S)
    early = sum(len(list(receive_queued(balancer))) for balancer in harness.balancers)
    await trio.sleep(6.0)
    late = sum(len(list(receive_queued(balancer))) for balancer in harness.balancers)

    assert (early, early + late) == counts


async def test_socket_of_an_idle_caller_is_closed(
    autojump_clock: MockClock, harness: FabricHarness
) -> None:
    harness.send(1)
    await trio.sleep(SETTLE_S)
    [caller_socket] = harness.fabric.caller_sockets.values()
    await trio.sleep(40.0)

    assert harness.fabric.caller_sockets == {}
    assert caller_socket.socket.fileno() == -1


async def test_address_in_use_raises_bind_error(
    autojump_clock: MockClock, harness: FabricHarness
) -> None:
    second = FabricStandIn(
        service_address=harness.fabric.service_address, random=random.Random(1)
    )
    with pytest.raises(BindError, match="choose a free address"):
        await second.run()
