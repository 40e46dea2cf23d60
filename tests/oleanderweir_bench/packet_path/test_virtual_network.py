from __future__ import annotations

import random

import trio
import trio.testing

from oleanderweir_bench.packet_path import VirtualNetwork
from oleanderweir_bench.packet_path.link_faults import LinkFaults


HOST = "10.0.0.1"
OTHER = "10.0.0.2"


async def receive(network: VirtualNetwork, source: str, count: int) -> list[bytes]:
    """Send numbered datagrams to ``OTHER``; return those that arrive, in order."""
    received: list[bytes] = []
    network.listen((OTHER, 1), lambda _, data: received.append(data))
    for number in range(count):
        network.send(source, bytes([number]), (OTHER, 1))
        await trio.sleep(0.001)
    await trio.sleep(1.0)
    return received


async def test_link_faults_lose_duplicate_and_reorder_datagrams_between_hosts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        network = VirtualNetwork(nursery=nursery, random_source=random.Random(1))
        network.link_faults = LinkFaults(
            loss_rate=0.2, duplicate_rate=0.2, late_rate=0.2, max_delay_s=0.05
        )

        received = await receive(network, HOST, 100)

        assert len(set(received)) < 100
        assert len(set(received)) < len(received)
        assert received != sorted(received)
        assert len(await receive(network, OTHER, 100)) == 100


async def test_a_cut_separates_only_two_hosts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        network = VirtualNetwork(nursery=nursery, random_source=random.Random(1))
        network.cuts.add(frozenset((HOST, OTHER)))

        assert await receive(network, HOST, 1) == []
        assert await receive(network, "10.0.0.3", 1) == [b"\0"]
