"""Replicators on an in-memory network, with a platform that can fail."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.configuration import Service
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.membership import InstanceRecord
from oleanderweir.membership import InstanceRole
from oleanderweir.membership import InstanceState
from oleanderweir.net import SocketAddress
from oleanderweir.replication import ControlBudget
from oleanderweir.replication import ReplicationSettings
from oleanderweir.replication import Replicator
from oleanderweir.tickets import BootGate
from oleanderweir.tickets import Entry
from oleanderweir.tickets import EntryKey
from oleanderweir.tickets import EntryKind
from oleanderweir.tickets import Snapshot
from oleanderweir.tickets import Ticket
from oleanderweir.tickets import TicketRegister
from tests.oleanderweir.replication.memory_transport import MemoryNetwork
from tests.oleanderweir.replication.memory_transport import MemoryTransport


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


WATCH_TIMEOUT_S = 30.0


def make_entry(name: str, ticket: int, *, retry_ratio: float = 0.1) -> Entry:
    address = SocketAddress(host="10.0.0.1", port=443)
    return Entry(
        key=EntryKey(kind=EntryKind.SERVICE, name=name),
        ticket=ticket,
        value=Service(name=name, address=address, retry_ratio=retry_ratio),
    )


def make_record(number: int, *, zone: str) -> InstanceRecord:
    address = SocketAddress(host="10.1.0.1", port=10_000 + number)
    return InstanceRecord(
        name=f"balancer-{number}",
        role=InstanceRole.BALANCER,
        region="region-1",
        availability_zone=zone,
        peer_address=address,
        data_address=address,
        state=InstanceState.LIVE,
    )


@attrs.define(kw_only=True, eq=False)
class Platform:
    """The published tickets and the published instance list."""

    tickets: list[Ticket] = attrs.field(factory=list)
    instances: list[InstanceRecord] = attrs.field(factory=list)
    is_down: bool = False
    reads: int = 0
    published: trio.Event = attrs.field(factory=trio.Event)

    def publish(self, *names: str) -> int:
        number = len(self.tickets) + 1
        return self.add(number, *(make_entry(name, number) for name in names))

    def remove(self, name: str) -> int:
        number = len(self.tickets) + 1
        key = EntryKey(kind=EntryKind.SERVICE, name=name)
        return self.add(number, Entry(key=key, ticket=number, value=None))

    def add(self, number: int, *entries: Entry) -> int:
        self.tickets.append(Ticket(number=number, entries=entries))
        self.published.set()
        self.published = trio.Event()
        return number


@attrs.define(kw_only=True, eq=False)
class PlatformReader:
    """
    The platform as one process reads it, without tickets after ``stale_at``.

    The answers with tickets arrive ``delay_s`` seconds after they were made.
    """

    platform: Platform
    stale_at: int | None = None
    delay_s: float = 0.0

    async def read_instances(self) -> Sequence[InstanceRecord]:
        self._check()
        return list(self.platform.instances)

    async def read_snapshot(self) -> Snapshot:
        register = TicketRegister()
        tickets = await self.read_tickets(0)
        register.merge(entry for ticket in tickets for entry in ticket.entries)
        return register.snapshot()

    async def read_tickets(self, after: int) -> Sequence[Ticket]:
        self._check()
        tickets = self.platform.tickets[after : self.stale_at]
        if self.delay_s:
            await trio.sleep(self.delay_s)
        return tickets

    async def watch_tickets(self, after: int) -> Sequence[Ticket]:
        with trio.move_on_after(WATCH_TIMEOUT_S):
            while not (tickets := await self.read_tickets(after)):
                await self.platform.published.wait()
            return tickets
        return ()

    def _check(self) -> None:
        self.platform.reads += 1
        if self.platform.is_down:
            raise OleanderweirError("the platform is down")


@attrs.define(kw_only=True, eq=False)
class Node:
    replicator: Replicator
    reader: PlatformReader
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def ticket_of(self, name: str) -> int:
        entry = self.replicator.register.entry(
            EntryKey(kind=EntryKind.SERVICE, name=name)
        )
        return 0 if entry is None else entry.ticket


@attrs.define(kw_only=True, eq=False)
class Cluster:
    nursery: trio.Nursery
    settings: ReplicationSettings = attrs.field(factory=ReplicationSettings)
    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    platform: Platform = attrs.field(factory=Platform)
    nodes: dict[int, Node] = attrs.field(factory=dict)
    starts: int = 0

    async def start(self, numbers: Iterable[int], *, zones: int = 1) -> None:
        records = [make_record(n, zone=f"zone-{n % zones}") for n in numbers]
        self.platform.instances.extend(records)
        for number, record in zip(numbers, records, strict=True):
            await self.start_one(number, record)

    async def start_one(self, number: int, record: InstanceRecord) -> Node:
        self.starts += 1
        reader = PlatformReader(platform=self.platform)
        replicator = Replicator(
            own_record=record,
            register=TicketRegister(),
            boot_gate=BootGate(),
            zone_list=reader,
            fleet_list=reader,
            ticket_source=reader,
            transport=MemoryTransport(
                network=self.network, address=str(record.peer_address)
            ),
            random=random.Random(self.starts),
            settings=self.settings,
            budget=ControlBudget(),
        )
        node = Node(replicator=replicator, reader=reader)
        self.nodes[number] = node
        await self.nursery.start(self._run, node)
        return node

    async def _run(self, node: Node, task_status: trio.TaskStatus[None]) -> None:
        with node.scope:
            await node.replicator.run(task_status=task_status)

    def stop(self, number: int, *, is_listed: bool = False) -> None:
        node = self.nodes.pop(number)
        node.scope.cancel()
        if not is_listed:
            self.platform.instances.remove(node.replicator.own_record)

    def is_replicated(self, name: str, ticket: int) -> bool:
        return all(node.ticket_of(name) >= ticket for node in self.nodes.values())

    async def wait_replicated(
        self, name: str, ticket: int, *, within_s: float
    ) -> float:
        start = trio.current_time()
        with trio.fail_after(within_s):
            while not self.is_replicated(name, ticket):
                await trio.sleep(0.05)
        return trio.current_time() - start

    async def wait_ready(self, *, within_s: float = 30.0) -> None:
        with trio.fail_after(within_s):
            while not all(node.replicator.is_ready for node in self.nodes.values()):
                await trio.sleep(0.1)
