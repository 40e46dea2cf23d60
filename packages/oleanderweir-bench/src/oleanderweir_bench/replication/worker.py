"""A process that runs some of the nodes: ``python -m ...worker PLAN``."""

from __future__ import annotations

import json
import sys
import time
from collections import deque
from pathlib import Path
from typing import assert_never

import attrs
import cattrs
import trio

from oleanderweir.replication.metrics import BUDGET_DELAY_SECONDS
from oleanderweir.replication.metrics import CONTROL_BYTES
from oleanderweir_bench.replication.line_stream import read_lines
from oleanderweir_bench.replication.messages import NodeReady
from oleanderweir_bench.replication.messages import ReportUsage
from oleanderweir_bench.replication.messages import StartNode
from oleanderweir_bench.replication.messages import StopNode
from oleanderweir_bench.replication.messages import TicketsInForce
from oleanderweir_bench.replication.messages import WorkerMessage
from oleanderweir_bench.replication.messages import WorkerUsage
from oleanderweir_bench.replication.messages import decode_line
from oleanderweir_bench.replication.messages import encode_line
from oleanderweir_bench.replication.node import Node
from oleanderweir_bench.replication.worker_plan import WorkerPlan


PAGE_BYTES = 4096


@attrs.define(kw_only=True, eq=False)
class Worker:
    """
    Runs nodes and reports on them.

    Requests are read from standard input; reports are written to standard output.
    """

    plan: WorkerPlan
    nursery: trio.Nursery
    nodes: dict[str, Node] = attrs.field(factory=dict)
    reports: deque[WorkerMessage] = attrs.field(factory=deque)
    report_queued: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Process messages until standard input is closed."""
        self.nursery.start_soon(self.write_reports)
        async for line in read_lines(trio.lowlevel.FdStream(sys.stdin.fileno())):
            self.on_message(decode_line(line))
        self.nursery.cancel_scope.cancel()

    def on_message(self, message: WorkerMessage) -> None:
        """Process one message from the experiment."""
        match message:
            case StartNode():
                node = Node(
                    plan=message.node, worker_plan=self.plan, report=self.report
                )
                self.nodes[message.node.name] = node
                self.nursery.start_soon(node.run)
            case StopNode():
                self.nodes.pop(message.name).scope.cancel()
            case ReportUsage():
                self.report(measure_usage())
            case NodeReady() | TicketsInForce() | WorkerUsage():
                pass
            case _:
                assert_never(message)

    def report(self, message: WorkerMessage) -> None:
        """Queue a report to the experiment."""
        self.reports.append(message)
        self.report_queued.set()

    async def write_reports(self) -> None:
        """Write queued reports to standard output."""
        stream = trio.lowlevel.FdStream(sys.stdout.fileno())
        while True:
            await self.report_queued.wait()
            self.report_queued = trio.Event()
            lines = b"".join(encode_line(message) for message in self.reports)
            self.reports.clear()
            await stream.send_all(lines)


def measure_usage() -> WorkerUsage:
    """Return the usage of this process so far."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return WorkerUsage(
        at_s=time.monotonic(),
        cpu_s=time.process_time(),
        memory_bytes=pages * PAGE_BYTES,
        sent_bytes=CONTROL_BYTES.labels(direction="sent")._value.get(),
        received_bytes=CONTROL_BYTES.labels(direction="received")._value.get(),
        budget_delay_s=BUDGET_DELAY_SECONDS._value.get(),
    )


async def main(plan: WorkerPlan) -> None:
    """Run the worker."""
    async with trio.open_nursery() as nursery:
        await Worker(plan=plan, nursery=nursery).run()


if __name__ == "__main__":
    trio.run(main, cattrs.structure(json.loads(sys.argv[1]), WorkerPlan))
