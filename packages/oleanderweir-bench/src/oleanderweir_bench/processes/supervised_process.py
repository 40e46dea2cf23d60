"""A process that the bench started."""

from __future__ import annotations

import signal
from collections import deque
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from oleanderweir_bench.exceptions import ProcessFailedError


if TYPE_CHECKING:
    import subprocess
    from collections.abc import Iterator

    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.processes.output_line import OutputLine


MAX_LINES = 100_000
TAIL_LINES = 5
POLL_INTERVAL_S = 0.05
HANDLER_POLL_INTERVAL_S = 0.005
POLL_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 30.0


def create_line_buffer() -> deque[OutputLine]:
    """Return a buffer that holds the newest lines."""
    return deque(maxlen=MAX_LINES)


@attrs.define(kw_only=True, eq=False)
class SupervisedProcess:
    """
    A process that the bench started.

    ``lines`` holds its newest lines on standard output and standard error, oldest
    first. Signals are sent to this process only, not to its process group.
    """

    name: str
    process: subprocess.Popen[bytes]
    lines: deque[OutputLine] = attrs.field(factory=create_line_buffer)

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.poll() is None

    @property
    def tail(self) -> str:
        """The last output lines, joined for error messages."""
        return " | ".join(line.text for line in list(self.lines)[-TAIL_LINES:])

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send(signal.SIGKILL)

    def terminate(self) -> None:
        """Request the exit of the process with SIGTERM."""
        self.send(signal.SIGTERM)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue the suspended process with SIGCONT."""
        self.send(signal.SIGCONT)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self.process.send_signal(signal_number)

    def handles(self, signal_number: signal.Signals) -> bool:
        """Whether the process ignores or catches a signal, by the kernel's record."""
        mask = 1 << (signal_number - 1)
        return bool(read_handled_signals(self.process.pid) & mask)

    async def send_once_handled(
        self, signal_number: signal.Signals, timeout_s: float
    ) -> None:
        """
        Send a signal as soon as the process handles it, or after ``timeout_s``.

        Until its first statement runs, a program cannot prevent that a signal ends it.
        """
        with trio.move_on_after(timeout_s):
            while self.is_running and not self.handles(signal_number):
                await trio.sleep(HANDLER_POLL_INTERVAL_S)
        self.send(signal_number)

    async def wait(self) -> None:
        """Wait until the process has exited."""
        while self.is_running:
            await trio.sleep(POLL_INTERVAL_S)

    async def wait_line(self, text: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait for a line with ``text``; raise ``ProcessFailedError`` on failure."""
        with self.limit_wait(f"line with '{text}'", timeout_s):
            while not any(text in line.text for line in self.lines):
                await self.poll()

    async def wait_port(
        self, address: SocketAddress, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait for a TCP listener; raise ``ProcessFailedError`` on failure."""
        with self.limit_wait(f"TCP {address}", timeout_s):
            while not await accepts_connection(address):
                await self.poll()

    async def wait_http(self, url: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until ``url`` returns 200; raise ``ProcessFailedError`` on failure."""
        with self.limit_wait(f"200 from {url}", timeout_s):
            async with httpx.AsyncClient(timeout=POLL_TIMEOUT_S) as client:
                while not await returns_ok(client, url):
                    await self.poll()

    async def poll(self) -> None:
        """Sleep one interval; raise ``ProcessFailedError`` after the process exits."""
        if not self.is_running:
            code = self.process.returncode
            raise ProcessFailedError(
                f"{self.name} exited with code {code}; last output: {self.tail}"
            )
        await trio.sleep(POLL_INTERVAL_S)

    @contextmanager
    def limit_wait(self, awaited: str, timeout_s: float) -> Iterator[None]:
        """Limit the time of a wait; raise ``ProcessFailedError`` on timeout."""
        try:
            with trio.fail_after(timeout_s):
                yield
        except trio.TooSlowError:
            raise ProcessFailedError(
                f"{self.name}: no {awaited} within {timeout_s} s; "
                f"last output: {self.tail}"
            ) from None


def read_handled_signals(pid: int) -> int:
    """Return the signals that a process ignores or catches, as a bit mask."""
    try:
        status = Path(f"/proc/{pid}/status").read_text("ascii")
    except OSError:
        # The process has exited.
        return 0
    fields = dict(line.split(":\t", 1) for line in status.splitlines())
    return int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)


async def accepts_connection(address: SocketAddress) -> bool:
    """Return whether TCP ``address`` accepts a connection."""
    try:
        stream = await trio.open_tcp_stream(*address.sockaddr)
    except OSError:
        return False
    await stream.aclose()
    return True


async def returns_ok(client: httpx.AsyncClient, url: str) -> bool:
    """Return whether ``url`` returns 200."""
    try:
        response = await client.get(url)
    except httpx.HTTPError:
        return False
    return response.status_code == httpx.codes.OK
