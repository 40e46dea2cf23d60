"""Starts processes and ensures that all of them stop."""

from __future__ import annotations

import os
import subprocess
import sys
from typing import TYPE_CHECKING
from typing import Self

import trio

from oleanderweir_bench.background_nursery import BackgroundNursery
from oleanderweir_bench.processes import launcher
from oleanderweir_bench.processes.output_line import OutputLine
from oleanderweir_bench.processes.supervised_process import SupervisedProcess


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from types import TracebackType


STOP_GRACE_S = 5.0
READ_BYTES = 65536


class ProcessSupervisor:
    """
    Starts processes, and stops them when its context exits.

    Frozen processes are thawed first. Processes that do not exit within
    ``stop_grace_s`` seconds are killed. If the bench itself is killed, the kernel
    kills its processes.
    """

    def __init__(self, *, stop_grace_s: float = STOP_GRACE_S) -> None:
        self.stop_grace_s = stop_grace_s
        self.processes: list[SupervisedProcess] = []

    async def __aenter__(self) -> Self:
        self.background = BackgroundNursery()
        self.nursery = await self.background.open()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with trio.CancelScope(shield=True):
            await self.stop_all()
        await self.background.close()

    async def start_module(
        self, name: str, module: str, *arguments: str
    ) -> SupervisedProcess:
        """Start a Python module with the interpreter of the bench."""
        return await self.start(name, [sys.executable, "-m", module, *arguments])

    async def start(
        self,
        name: str,
        command: Sequence[str],
        *,
        environment: Mapping[str, str] | None = None,
    ) -> SupervisedProcess:
        """Start a command, given with its absolute path, and collect its output."""
        # PR_SET_PDEATHSIG kills a process when the thread that started it exits. Trio
        # starts processes on short-lived worker threads, so they would die too early.
        process = subprocess.Popen(
            [sys.executable, "-S", launcher.__file__, *command],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(environment or {})},
        )
        supervised = SupervisedProcess(name=name, process=process)
        self.processes.append(supervised)
        self.nursery.start_soon(collect_output, supervised)
        await trio.lowlevel.checkpoint()
        return supervised

    async def stop_all(self) -> None:
        """Stop every running process, and kill those that exceed the grace period."""
        for process in self.processes:
            process.thaw()
            process.terminate()
        with trio.move_on_after(self.stop_grace_s):
            for process in self.processes:
                await process.wait()
        for process in self.processes:
            process.kill()
            await process.wait()


async def collect_output(supervised: SupervisedProcess) -> None:
    """Collect the complete output lines of a process until it closes its output."""
    pipe = supervised.process.stdout
    if pipe is None:
        return
    partial_line = b""
    async with trio.lowlevel.FdStream(os.dup(pipe.fileno())) as output:
        pipe.close()
        while data := await output.receive_some(READ_BYTES):
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                text = line.decode(errors="replace")
                supervised.lines.append(OutputLine.parse(text))
