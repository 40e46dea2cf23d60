"""A network of emulated hosts in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    import random

    from oleanderweir_bench.packet_path.link_faults import LinkFaults


ONE_WAY_DELAY_S = 0.001


Listener = Callable[[str, bytes], None]
# Called with the sender's host, the data and the address of a datagram.
SendObserver = Callable[[str, bytes, tuple[str, int]], None]


class VirtualNetwork:
    """
    Delivers each datagram after a constant delay.

    Datagrams to addresses without a listener are dropped. Those to a held address wait
    in its socket and are delivered in order once it is listened to. A share of
    ``loss_rate`` of all datagrams is lost; this requires ``random_source``.
    ``link_faults`` and ``cuts``, pairs of hosts that don't reach each other, apply to
    datagrams between hosts only.
    """

    def __init__(self, *, nursery: trio.Nursery, random_source: random.Random) -> None:
        self.nursery = nursery
        self.random_source = random_source
        self.loss_rate = 0.0
        self.link_faults: LinkFaults | None = None
        self.cuts: set[frozenset[str]] = set()
        self.on_send: SendObserver = lambda _, __, ___: None
        self.listeners: dict[tuple[str, int], Listener] = {}
        # Datagrams that wait in the sockets of held addresses.
        self.held: dict[tuple[str, int], deque[tuple[str, bytes]]] = {}

    def listen(
        self, address: tuple[str, int], on_datagram: Callable[[str, bytes], None]
    ) -> None:
        """Call ``on_datagram`` with the sender's host and data of each datagram."""
        self.listeners[address] = on_datagram
        for source, data in self.held.pop(address, ()):
            on_datagram(source, data)

    def hold(self, address: tuple[str, int]) -> None:
        """Keep datagrams to an address until it is listened to."""
        self.listeners.pop(address, None)
        self.held.setdefault(address, deque())

    def take_held(self, address: tuple[str, int]) -> list[bytes]:
        """Remove and return the datagrams that wait in a socket."""
        return [data for _, data in self.held.pop(address, ())]

    def stop_listening(self, address: tuple[str, int]) -> None:
        """Drop datagrams to an address from now on."""
        self.listeners.pop(address, None)
        self.held.pop(address, None)

    def send(self, source: str, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram from a host."""
        self.on_send(source, data, address)
        if self.loss_rate and self.random_source.random() < self.loss_rate:
            return
        delays_s = [ONE_WAY_DELAY_S]
        if source != address[0]:
            delays_s = self._draw_delays_s(source, address[0])
        for delay_s in delays_s:
            self.nursery.start_soon(self._deliver, source, data, address, delay_s)

    def is_bound(self, address: tuple[str, int]) -> bool:
        """Whether datagrams to an address are received or wait in its socket."""
        return address in self.listeners or address in self.held

    def is_cut(self, host: str, other: str) -> bool:
        """Whether two hosts don't reach each other."""
        return frozenset((host, other)) in self.cuts

    def start_soon(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task of a host in the network's nursery."""
        self.nursery.start_soon(task, *arguments)

    def _draw_delays_s(self, host: str, other: str) -> list[float]:
        """Return the delay of each copy of a datagram between hosts."""
        if self.is_cut(host, other):
            return []
        faults, source = self.link_faults, self.random_source
        if faults is None:
            return [ONE_WAY_DELAY_S]
        copies = faults.draw_copies(source)
        return [ONE_WAY_DELAY_S + faults.draw_delay_s(source) for _ in range(copies)]

    async def _deliver(
        self, source: str, data: bytes, address: tuple[str, int], delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        on_datagram = self.listeners.get(address)
        if on_datagram is not None:
            on_datagram(source, data)
        elif address in self.held:
            self.held[address].append((source, data))


class VirtualSocket:
    """The sending side of one host's socket."""

    def __init__(self, *, network: VirtualNetwork, host: str) -> None:
        self.network = network
        self.host = host

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram; return true, since the send buffer is never full."""
        self.network.send(self.host, data, address)
        return True
