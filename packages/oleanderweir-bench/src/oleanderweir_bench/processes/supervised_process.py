"""A process that the bench started."""

from __future__ import annotations

import signal
from collections import deque
from contextlib import contextmanager
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
POLL_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 30.0


def create_line_buffer() -> deque[OutputLine]:
    """Return room for the newest lines."""
    return deque(maxlen=MAX_LINES)


@attrs.define(kw_only=True, eq=False)
class SupervisedProcess:
    """
    A process that the bench started.

    ``lines`` holds what it wrote to standard output and standard error, oldest first.
    Signals go to this process alone, by its identifier.
    """

    name: str
    process: subprocess.Popen[bytes]
    lines: deque[OutputLine] = attrs.field(factory=create_line_buffer)

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    @property
    def tail(self) -> str:
        """The last lines it wrote."""
        return " | ".join(line.text for line in list(self.lines)[-TAIL_LINES:])

    def kill(self) -> None:
        """End it at once."""
        self.send(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask it to end."""
        self.send(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop it where it stands."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self.send(signal.SIGCONT)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal unless it has ended."""
        if self.is_running:
            self.process.send_signal(signal_number)

    async def wait(self) -> None:
        """Wait until it has ended."""
        while self.is_running:
            await trio.sleep(POLL_INTERVAL_S)

    async def wait_line(self, text: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait for a line that holds ``text``; raise ``ProcessFailedError``."""
        with self.limit_wait(f"line with '{text}'", timeout_s):
            while not any(text in line.text for line in self.lines):
                await self.poll()

    async def wait_port(
        self, address: SocketAddress, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until TCP ``address`` accepts; raise ``ProcessFailedError``."""
        with self.limit_wait(f"TCP {address}", timeout_s):
            while not await accepts_connection(address):
                await self.poll()

    async def wait_http(self, url: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until ``url`` answers 200; raise ``ProcessFailedError``."""
        with self.limit_wait(f"200 from {url}", timeout_s):
            async with httpx.AsyncClient(timeout=POLL_TIMEOUT_S) as client:
                while not await returns_ok(client, url):
                    await self.poll()

    async def poll(self) -> None:
        """Wait a moment; raise ``ProcessFailedError`` when the process has ended."""
        if not self.is_running:
            code = self.process.returncode
            raise ProcessFailedError(f"{self.name} ended with code {code}: {self.tail}")
        await trio.sleep(POLL_INTERVAL_S)

    @contextmanager
    def limit_wait(self, what: str, timeout_s: float) -> Iterator[None]:
        """Bound a wait; raise ``ProcessFailedError`` when it takes too long."""
        try:
            with trio.fail_after(timeout_s):
                yield
        except trio.TooSlowError:
            raise ProcessFailedError(
                f"{self.name} gave no {what} within {timeout_s} s: {self.tail}"
            ) from None


async def accepts_connection(address: SocketAddress) -> bool:
    """Return whether TCP ``address`` accepts a connection."""
    try:
        stream = await trio.open_tcp_stream(*address.sockaddr)
    except OSError:
        return False
    await stream.aclose()
    return True


async def returns_ok(client: httpx.AsyncClient, url: str) -> bool:
    """Return whether ``url`` answers 200."""
    try:
        response = await client.get(url)
    except httpx.HTTPError:
        return False
    return response.status_code == httpx.codes.OK
