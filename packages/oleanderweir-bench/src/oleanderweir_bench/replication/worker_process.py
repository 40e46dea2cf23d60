"""The experiment's handle to a worker process."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import attrs
import cattrs
import trio

from oleanderweir_bench.replication.line_stream import read_lines
from oleanderweir_bench.replication.messages import ReportUsage
from oleanderweir_bench.replication.messages import WorkerUsage
from oleanderweir_bench.replication.messages import decode_line
from oleanderweir_bench.replication.messages import encode_line


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir_bench.replication.messages import WorkerMessage
    from oleanderweir_bench.replication.worker_plan import WorkerPlan


MODULE = "oleanderweir_bench.replication.worker"


@attrs.define(kw_only=True, eq=False)
class WorkerProcess:
    """Sends requests to a worker process and forwards its reports to ``on_report``."""

    process: trio.Process
    on_report: Callable[[WorkerMessage], None]
    usages: list[WorkerUsage] = attrs.field(factory=list)
    usage_added: trio.Event = attrs.field(factory=trio.Event)

    @classmethod
    async def start(
        cls, plan: WorkerPlan, on_report: Callable[[WorkerMessage], None]
    ) -> WorkerProcess:
        """Start the process."""
        document = json.dumps(cattrs.unstructure(plan))
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", MODULE, document],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        return cls(process=process, on_report=on_report)

    async def read_reports(self) -> None:
        """Record usages and forward other reports until the process exits."""
        assert self.process.stdout is not None
        async for line in read_lines(self.process.stdout):
            message = decode_line(line)
            if isinstance(message, WorkerUsage):
                self.usages.append(message)
                self.usage_added.set()
            else:
                self.on_report(message)

    async def send(self, message: WorkerMessage) -> None:
        """Send a request to the worker."""
        assert self.process.stdin is not None
        await self.process.stdin.send_all(encode_line(message))

    async def fetch_usage(self) -> WorkerUsage:
        """Request the worker's usage so far and return it."""
        self.usage_added = trio.Event()
        await self.send(ReportUsage())
        await self.usage_added.wait()
        return self.usages[-1]

    def freeze(self) -> None:
        """Suspend the process, which simulates an overloaded host."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process."""
        self.process.send_signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Close standard input; kill the process if it has not exited after 5 s."""
        assert self.process.stdin is not None
        await self.process.stdin.aclose()
        with trio.move_on_after(5):
            await self.process.wait()
            return
        self.process.kill()
        await self.process.wait()
