from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir.replication import ReplicationSettings
from tests.oleanderweir.replication.cluster import Cluster
from tests.oleanderweir.replication.cluster import make_entry
from tests.oleanderweir.replication.cluster import make_record


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock


REPLICATION_TARGET_S = 4.0
RECOVERY_TIMEOUT_S = 60.0


@pytest.fixture
async def cluster(autojump_clock: MockClock) -> AsyncIterator[Cluster]:
    async with trio.open_nursery() as nursery:
        yield Cluster(nursery=nursery)
        nursery.cancel_scope.cancel()


async def start_ready(cluster: Cluster, count: int, *, zones: int) -> None:
    cluster.platform.publish("a", "b")
    await cluster.start(range(count), zones=zones)
    await cluster.wait_ready()


async def replicate_ticket(cluster: Cluster) -> int:
    """Publish a ticket; fail if it isn't in force everywhere within the target."""
    ticket = cluster.platform.publish("a")
    await cluster.wait_replicated("a", ticket, within_s=REPLICATION_TARGET_S)
    return ticket


@pytest.mark.parametrize("zones", [1, 3], ids=["one zone", "three zones"])
async def test_ticket_reaches_all_processes_within_target(
    autojump_clock: MockClock, cluster: Cluster, zones: int
) -> None:
    await start_ready(cluster, 15, zones=zones)
    await replicate_ticket(cluster)


async def test_three_readers_per_zone_watch_the_configuration_service(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 16, zones=2)
    await trio.sleep(5)
    readers = [n for n in cluster.nodes.values() if n.replicator.follower.is_reader]
    assert len(readers) == 6


async def test_zone_with_stale_configuration_receives_tickets_from_other_zones(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 12, zones=3)
    await trio.sleep(5)
    for number, node in cluster.nodes.items():
        if number % 3:
            node.reader.stale_at = 1
    await replicate_ticket(cluster)


async def test_partitioned_zone_keeps_its_state_and_merges_after_the_partition(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 10, zones=2)
    before = await replicate_ticket(cluster)
    zone = {
        str(n.replicator.own_record.peer_address)
        for number, n in cluster.nodes.items()
        if number % 2
    }
    cluster.network.is_cut = lambda source, target: (source in zone) != (target in zone)
    for number, node in cluster.nodes.items():
        if number % 2:
            node.reader.stale_at = before
    ticket = cluster.platform.publish("a")
    await trio.sleep(30)
    tickets = {number: n.ticket_of("a") for number, n in cluster.nodes.items()}
    assert set(tickets.values()) == {before, ticket}
    assert all(tickets[n] == (before if n % 2 else ticket) for n in tickets)
    cluster.network.heal()
    await cluster.wait_replicated("a", ticket, within_s=RECOVERY_TIMEOUT_S)


async def test_frozen_process_does_not_delay_others_and_catches_up_when_resumed(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 8, zones=1)
    frozen = cluster.nodes.pop(3)
    cluster.network.isolate(str(frozen.replicator.own_record.peer_address))
    frozen.reader.stale_at = 1
    for _ in range(2):
        ticket = await replicate_ticket(cluster)
        await trio.sleep(20)
    assert frozen.ticket_of("a") == 1
    cluster.nodes[3] = frozen
    cluster.network.heal()
    await cluster.wait_replicated("a", ticket, within_s=RECOVERY_TIMEOUT_S)


async def test_process_restarted_at_the_same_address_fetches_state_from_peers(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 12, zones=1)
    ticket = await replicate_ticket(cluster)
    cluster.platform.is_down = True
    record = cluster.nodes[5].replicator.own_record
    cluster.stop(5, is_listed=True)
    cluster.platform.is_down = False
    node = await cluster.start_one(5, record)
    node.reader.stale_at = 1
    await cluster.wait_ready()
    assert node.ticket_of("a") == ticket


async def test_ticket_is_kept_while_half_the_processes_are_replaced_with_stale_reads(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 12, zones=2)
    ticket = await replicate_ticket(cluster)
    for number in range(0, 12, 2):
        cluster.stop(number)
        record = make_record(100 + number, zone=f"zone-{number // 2 % 2}")
        cluster.platform.instances.append(record)
        node = await cluster.start_one(100 + number, record)
        node.reader.stale_at = 1
        with trio.fail_after(RECOVERY_TIMEOUT_S):
            while not node.replicator.is_ready:
                await trio.sleep(0.05)
        assert node.ticket_of("a") == ticket
    assert cluster.is_replicated("a", ticket)


async def test_unlisted_instance_receives_tickets_within_target(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 12, zones=1)
    await cluster.start_one(50, make_record(50, zone="zone-0"))
    await cluster.wait_ready()
    await replicate_ticket(cluster)


async def test_stopped_but_listed_instances_do_not_block_tickets(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 12, zones=1)
    for number in range(0, 12, 2):
        cluster.stop(number, is_listed=True)
    await trio.sleep(10)
    await replicate_ticket(cluster)


async def test_reserves_become_readers_when_all_readers_stop_but_stay_listed(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 12, zones=1)
    await trio.sleep(10)
    for number, node in list(cluster.nodes.items()):
        if node.replicator.follower.is_reader:
            cluster.stop(number, is_listed=True)
    assert len(cluster.nodes) == 9
    await trio.sleep(10)
    await replicate_ticket(cluster)


async def test_empty_instance_list_is_ignored(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    cluster.settings = ReplicationSettings(zone_list_interval_s=2.0)
    await start_ready(cluster, 6, zones=1)
    cluster.platform.instances.clear()
    await trio.sleep(20)
    await replicate_ticket(cluster)


async def test_booting_process_without_reachable_peers_is_not_ready(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 6, zones=1)
    record = make_record(50, zone="zone-0")
    cluster.network.isolate(str(record.peer_address))
    node = await cluster.start_one(50, record)
    await trio.sleep(60)
    assert not node.replicator.is_ready
    cluster.network.heal()
    await cluster.wait_ready()


async def test_burst_over_the_budget_is_delayed_but_complete(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 6, zones=1)
    for node in cluster.nodes.values():
        node.replicator.budget.tokens = 0
    names = [f"service-{n}" for n in range(200)]
    for name in names:
        cluster.platform.publish(name)
    for number, name in enumerate(names):
        await cluster.wait_replicated(name, number + 2, within_s=120)


async def test_raised_floor_reaches_all_processes(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 8, zones=2)
    ticket = cluster.platform.remove("a")
    await cluster.wait_replicated("a", ticket, within_s=REPLICATION_TARGET_S)
    with cluster.nodes[0].replicator.context.updating_register() as register:
        register.raise_floor(ticket + 1)
    await trio.sleep(RECOVERY_TIMEOUT_S)
    registers = [node.replicator.register for node in cluster.nodes.values()]
    assert {register.floor for register in registers} == {ticket + 1}
    assert len({register.digest() for register in registers}) == 1
    assert cluster.nodes[5].ticket_of("a") == 0


async def test_conflicting_entries_of_one_ticket_converge(
    autojump_clock: MockClock, cluster: Cluster
) -> None:
    await start_ready(cluster, 8, zones=1)
    for number, node in cluster.nodes.items():
        with node.replicator.context.updating_register() as register:
            register.merge([make_entry("c", 7, retry_ratio=0.1 + number % 2 / 10)])
    await trio.sleep(RECOVERY_TIMEOUT_S)
    digests = {n.replicator.register.digest() for n in cluster.nodes.values()}
    assert len(digests) == 1
