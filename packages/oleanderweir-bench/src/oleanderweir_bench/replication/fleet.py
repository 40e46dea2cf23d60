"""The nodes of an experiment, distributed over worker processes."""

from __future__ import annotations

import socket
import time
from collections import defaultdict
from itertools import count
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.replication.messages import NodePlan
from oleanderweir_bench.replication.messages import NodeReady
from oleanderweir_bench.replication.messages import StartNode
from oleanderweir_bench.replication.messages import StopNode
from oleanderweir_bench.replication.messages import TicketsInForce
from oleanderweir_bench.replication.node import LOOPBACK
from oleanderweir_bench.replication.node import make_record


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from oleanderweir_bench.platform import PublishedState
    from oleanderweir_bench.replication.messages import WorkerMessage
    from oleanderweir_bench.replication.messages import WorkerUsage
    from oleanderweir_bench.replication.worker_process import WorkerProcess


ZONE_COUNT = 13
REGION_COUNT = 5
NODES_PER_BALANCER = 8
FIRST_PORT = 20_000
LAST_PORT = 32_000
POLL_INTERVAL_S = 0.02


def find_free_ports() -> Iterator[int]:
    """Yield the loopback ports that no socket is bound to."""
    for port in range(FIRST_PORT, LAST_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        yield port


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """
    Starts, stops and observes nodes.

    ``workers_by_node`` maps the name of a node to the worker that runs it. ``in_force``
    maps each ticket to the times at which nodes merged it, by node name. Times are
    seconds of the machine's monotonic clock.
    """

    workers: list[WorkerProcess]
    instances: PublishedState
    plans: dict[str, NodePlan] = attrs.field(factory=dict)
    workers_by_node: dict[str, WorkerProcess] = attrs.field(factory=dict)
    ready_at_s: dict[str, float] = attrs.field(factory=dict)
    in_force: dict[int, dict[str, float]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    numbers: Iterator[int] = attrs.field(factory=count)
    ports: Iterator[int] = attrs.field(factory=find_free_ports)

    def on_report(self, message: WorkerMessage) -> None:
        """Record a report from a worker."""
        match message:
            case NodeReady():
                self.ready_at_s[message.name] = message.at_s
            case TicketsInForce():
                for ticket in message.tickets:
                    self.in_force[ticket].setdefault(message.name, message.at_s)

    async def start(self, node_count: int) -> list[NodePlan]:
        """Publish new nodes as instances and start them, in all zones in turn."""
        plans = [self.make_plan(next(self.numbers)) for _ in range(node_count)]
        self.plans |= {plan.name: plan for plan in plans}
        self.publish_instances()
        for number, plan in enumerate(plans):
            worker = self.workers[number % len(self.workers)]
            self.workers_by_node[plan.name] = worker
            await worker.send(StartNode(node=plan))
        return plans

    def make_plan(self, number: int) -> NodePlan:
        """Return the plan of a new node."""
        zone = number % ZONE_COUNT
        is_balancer = number % NODES_PER_BALANCER == 0
        return NodePlan(
            name=f"instance-{number:05}",
            role="balancer" if is_balancer else "agent",
            region=f"region-{zone % REGION_COUNT}",
            availability_zone=f"zone-{zone:02}",
            port=next(self.ports),
        )

    async def stop(self, names: Iterable[str]) -> None:
        """Stop nodes abruptly and remove them from the instance list."""
        for name in names:
            await self.workers_by_node.pop(name).send(StopNode(name=name))
            del self.plans[name]
        self.publish_instances()

    def publish_instances(self) -> None:
        """Publish the nodes as the instance list."""
        self.instances.replace_instances([make_record(p) for p in self.plans.values()])

    async def wait_ready(self, *, timeout_s: float) -> bool:
        """Wait until every node is ready; return False on timeout."""
        with trio.move_on_after(timeout_s):
            while not self.ready_at_s.keys() >= self.plans.keys():
                await trio.sleep(POLL_INTERVAL_S)
            return True
        return False

    async def wait_in_force(
        self,
        tickets: Iterable[int],
        *,
        timeout_s: float,
        names: frozenset[str] | None = None,
    ) -> bool:
        """
        Wait until tickets are in force on the named nodes, by default on all.

        Return False on timeout.
        """
        awaited = list(tickets)
        with trio.move_on_after(timeout_s):
            while any(not self.is_in_force(ticket, names) for ticket in awaited):
                await trio.sleep(POLL_INTERVAL_S)
            return True
        return False

    def is_in_force(self, ticket: int, names: frozenset[str] | None = None) -> bool:
        """Whether a ticket is in force on the named nodes, by default on all."""
        return self.in_force[ticket].keys() >= (names or self.plans.keys())

    def last_in_force_s(
        self, ticket: int, names: frozenset[str] | None = None
    ) -> float:
        """Return when the last of the named nodes, by default all, merged a ticket."""
        return max(self.in_force[ticket][name] for name in names or self.plans)

    def names_on_other_workers(self, worker: WorkerProcess) -> frozenset[str]:
        """Return the names of the nodes that run on other workers."""
        return frozenset(
            n for n, other in self.workers_by_node.items() if other is not worker
        )

    async def fetch_usages(self) -> list[WorkerUsage]:
        """Return the usage of each worker so far."""
        return [await worker.fetch_usage() for worker in self.workers]

    @staticmethod
    def now_s() -> float:
        """Return the time of the machine's monotonic clock, in seconds."""
        return time.monotonic()
