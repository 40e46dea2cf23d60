from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir.rendezvous import score
from tests.oleanderweir.replication.cluster import Cluster


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock


REPLICATION_TARGET_S = 4.0
SIZE = 40
# Watches that began at the start of the cluster have ended.
SETTLING_S = 150.0


@asynccontextmanager
async def open_cluster() -> AsyncIterator[Cluster]:
    """Run a cluster in one zone until it is settled."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        await cluster.start(range(SIZE))
        await cluster.wait_ready()
        await trio.sleep(SETTLING_S)
        yield cluster
        nursery.cancel_scope.cancel()


def first_in_rank(cluster: Cluster, count: int) -> list[int]:
    """Return the numbers of the readers, then those of the reserves and the others."""
    ranked = sorted(
        cluster.nodes,
        key=lambda number: score(f"balancer-{number}", purpose="reader/zone-0"),
    )
    return ranked[:count]


async def check_replication(cluster: Cluster) -> None:
    ticket = cluster.platform.publish("feed")
    await cluster.wait_replicated("feed", ticket, within_s=REPLICATION_TARGET_S)


# Guards against trust in readers that are gone, with the reserves that replace them.
@pytest.mark.parametrize("lost", [6, 20])
@pytest.mark.parametrize("delay_s", [0.1, 5.0])
async def test_a_ticket_reaches_all_processes_after_the_first_in_rank_are_lost(
    autojump_clock: MockClock, lost: int, delay_s: float
) -> None:
    async with open_cluster() as cluster:
        for number in first_in_rank(cluster, lost):
            cluster.stop(number, is_listed=True)
        await trio.sleep(delay_s)

        await check_replication(cluster)


async def test_a_ticket_reaches_all_others_while_the_first_in_rank_are_cut_off(
    autojump_clock: MockClock,
) -> None:
    async with open_cluster() as cluster:
        lost = [cluster.nodes.pop(n) for n in first_in_rank(cluster, 6)]
        addresses = {str(node.replicator.own_record.peer_address) for node in lost}
        cluster.network.is_cut = lambda a, b: (a in addresses) != (b in addresses)
        for node in lost:
            node.reader.stale_at = 0

        await check_replication(cluster)


async def test_a_ticket_reaches_all_while_the_readers_get_old_answers(
    autojump_clock: MockClock,
) -> None:
    async with open_cluster() as cluster:
        for number in first_in_rank(cluster, 3):
            cluster.nodes[number].reader.stale_at = 0

        await check_replication(cluster)


@pytest.mark.parametrize("delay_s", [5.0, math.inf], ids=["late", "none"])
async def test_a_ticket_reaches_all_while_the_readers_get_late_or_no_answers(
    autojump_clock: MockClock, delay_s: float
) -> None:
    async with open_cluster() as cluster:
        for number in first_in_rank(cluster, 3):
            cluster.nodes[number].reader.delay_s = delay_s

        await check_replication(cluster)


async def test_a_silent_reader_is_replaced(autojump_clock: MockClock) -> None:
    async with open_cluster() as cluster:
        lost = cluster.nodes.pop(first_in_rank(cluster, 1)[0])
        cluster.network.isolate(str(lost.replicator.own_record.peer_address))
        await trio.sleep(lost.replicator.settings.receive_timeout_s + 5.0)

        followers = [node.replicator.follower for node in cluster.nodes.values()]
        assert sum(follower.is_reader for follower in followers) == 3


@pytest.mark.parametrize("is_down", [False, True])
async def test_the_polls_of_a_zone_are_bounded(
    autojump_clock: MockClock, *, is_down: bool
) -> None:
    async with open_cluster() as cluster:
        cluster.platform.is_down = is_down
        before = cluster.platform.reads
        await trio.sleep(60.0)

    # Beside the polls: the readers and the instance lists, with retries in an outage.
    settings = cluster.settings
    others = 3 * SIZE
    assert cluster.platform.reads - before <= 60 * settings.zone_polls_per_s + others


async def test_a_short_instance_list_has_unlisted_processes_poll_seldom(
    autojump_clock: MockClock,
) -> None:
    async with open_cluster() as cluster:
        del cluster.platform.instances[SIZE // 5 :]
        # Each process reads the list anew within this time.
        await trio.sleep(cluster.settings.zone_list_interval_s)
        before = cluster.platform.reads
        await trio.sleep(60.0)

    polls = 60 * cluster.settings.zone_polls_per_s
    assert cluster.platform.reads - before <= polls + 3 * SIZE


async def test_a_lost_session_costs_few_reads_of_the_service(
    autojump_clock: MockClock,
) -> None:
    reads: list[int] = []
    for lost in (0, 1):
        async with open_cluster() as cluster:
            before = cluster.platform.reads
            for number in first_in_rank(cluster, SIZE)[:lost]:
                cluster.stop(number, is_listed=True)
            await trio.sleep(60.0)
            reads.append(cluster.platform.reads - before)

    # Its six neighbours watch once or twice, and their instance lists may be due.
    assert reads[1] - reads[0] <= 30
