"""A network of emulated hosts in virtual time."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import trio


ONE_WAY_DELAY_S = 0.001


Listener = Callable[[str, bytes], None]


class VirtualNetwork:
    """
    Delivers each datagram after a constant delay.

    Datagrams to addresses without a listener are dropped.
    """

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.listeners: dict[tuple[str, int], Listener] = {}

    def listen(
        self, address: tuple[str, int], on_datagram: Callable[[str, bytes], None]
    ) -> None:
        """Call ``on_datagram`` with the sender's host and data of each datagram."""
        self.listeners[address] = on_datagram

    def stop_listening(self, address: tuple[str, int]) -> None:
        """Drop datagrams to an address from now on."""
        self.listeners.pop(address, None)

    def send(self, source: str, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram from a host."""
        self.nursery.start_soon(self._deliver, source, data, address)

    def start_soon(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task of a host in the network's nursery."""
        self.nursery.start_soon(task, *arguments)

    async def _deliver(
        self, source: str, data: bytes, address: tuple[str, int]
    ) -> None:
        await trio.sleep(ONE_WAY_DELAY_S)
        on_datagram = self.listeners.get(address)
        if on_datagram is not None:
            on_datagram(source, data)


class VirtualSocket:
    """The sending side of one host's socket."""

    def __init__(self, *, network: VirtualNetwork, host: str) -> None:
        self.network = network
        self.host = host

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram; return true, since the send buffer is never full."""
        self.network.send(self.host, data, address)
        return True
