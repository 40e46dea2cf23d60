"""Interface through which emulated hosts send and receive datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class Network(Protocol):
    """Datagrams between hosts, in virtual time or on the loopback interface."""

    def listen(
        self, address: tuple[str, int], on_datagram: Callable[[str, bytes], None]
    ) -> None:
        """Call ``on_datagram`` with the sender's host and data of each datagram."""

    def stop_listening(self, address: tuple[str, int]) -> None:
        """Drop datagrams to an address from now on."""

    def send(self, source: str, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram from a host."""

    def start_soon(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task of a host in the network's nursery."""
