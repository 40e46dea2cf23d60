"""Datagrams between emulated hosts."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import trio


# One way between any two hosts.
ONE_WAY_DELAY_S = 0.001


Listener = Callable[[str, bytes], None]


class VirtualNetwork:
    """
    Hands each datagram to the host that listens, after a delay.

    Datagrams to hosts that don't listen, or that are cut off, are lost.
    """

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.listeners: dict[tuple[str, int], Listener] = {}

    def listen(
        self, address: tuple[str, int], on_datagram: Callable[[str, bytes], None]
    ) -> None:
        """Hand datagrams for an address to ``on_datagram``, with the sender's host."""
        self.listeners[address] = on_datagram

    def stop_listening(self, address: tuple[str, int]) -> None:
        """Lose what comes for an address from now on."""
        self.listeners.pop(address, None)

    def send(self, source: str, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram from a host."""
        self.nursery.start_soon(self._deliver, source, data, address)

    def start_soon(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task of a host as long as the network lasts."""
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
        """Send a datagram; the emulated system always takes it."""
        self.network.send(self.host, data, address)
        return True
