"""Datagrams between hosts on the loopback interface, with loss and delay."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from oleanderweir.net import SocketAddress
from oleanderweir.net import UdpSocket


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable


MAX_LINK_WAIT_S = 0.5
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


class LoopbackNetwork:
    """
    A ``Network`` of real sockets; each host has an address in 127.0.0.0/8.

    ``delays_s`` and ``loss_probabilities`` apply to all datagrams to a host. A
    probability of 1 cuts the network in that direction only. ``link_mbps`` has the
    rates of slow links to hosts, in megabits a second; what would wait there for longer
    than ``MAX_LINK_WAIT_S`` is lost.
    """

    def __init__(self, *, nursery: trio.Nursery, random_source: random.Random) -> None:
        self.nursery = nursery
        self.random_source = random_source
        self.scopes: dict[tuple[str, int], tuple[trio.CancelScope, ...]] = {}
        self.sender = UdpSocket(bind_address=SocketAddress(host="127.0.0.1", port=0))
        self.loss_probabilities: dict[str, float] = {}
        self.delays_s: dict[str, float] = {}
        self.link_mbps: dict[str, float] = {}
        # When the link to a host will be free, in seconds of trio's clock.
        self.link_free_at: dict[str, float] = {}

    def listen(
        self, address: tuple[str, int], on_datagram: Callable[[str, bytes], None]
    ) -> None:
        """
        Call ``on_datagram`` with the sender's host and data of each datagram.

        TCP connections to the address are accepted and closed until
        ``stop_listening``.
        """
        host, port = address
        datagrams = UdpSocket(bind_address=SocketAddress(host=host, port=port))
        scopes = (trio.CancelScope(), trio.CancelScope())
        self.scopes[address] = scopes
        self.nursery.start_soon(_receive, datagrams, on_datagram, scopes[0])
        self.nursery.start_soon(_accept, listen_tcp(address), scopes[1])

    def stop_listening(self, address: tuple[str, int]) -> None:
        """Drop datagrams to an address from now on."""
        for scope in self.scopes.pop(address, ()):
            scope.cancel()

    def send(self, source: str, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, subject to the loss and delay of its destination."""
        del source
        host = address[0]
        if self.random_source.random() < self.loss_probabilities.get(host, 0.0):
            return
        wait_s = self._wait_for_link(host, data)
        if wait_s > MAX_LINK_WAIT_S:
            return
        delay_s = self.delays_s.get(host, 0.0) + wait_s
        if delay_s:
            self.nursery.start_soon(self._send_later, data, address, delay_s)
        else:
            self.sender.send_to(data, address)

    def start_soon(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task of a host in the network's nursery."""
        self.nursery.start_soon(task, *arguments)

    def _wait_for_link(self, host: str, data: bytes) -> float:
        """Return how long a datagram takes on the link to a host, in seconds."""
        link_mbps = self.link_mbps.get(host)
        if link_mbps is None:
            return 0.0
        now = trio.current_time()
        wait_s = max(0.0, self.link_free_at.get(host, now) - now)
        wait_s += len(data) * BITS_PER_BYTE / (link_mbps * BITS_PER_MBIT)
        if wait_s <= MAX_LINK_WAIT_S:
            self.link_free_at[host] = now + wait_s
        return wait_s

    async def _send_later(
        self, data: bytes, address: tuple[str, int], delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        self.sender.send_to(data, address)


def listen_tcp(address: tuple[str, int]) -> socket.socket:
    """Return a TCP socket that listens on an address."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen()
    return listener


async def _accept(listener: socket.socket, scope: trio.CancelScope) -> None:
    """Accept and close connections until the scope is cancelled."""
    with scope, trio.socket.from_stdlib_socket(listener) as accepting:
        while True:
            connection, _ = await accepting.accept()
            connection.close()


async def _receive(
    datagrams: UdpSocket,
    on_datagram: Callable[[str, bytes], None],
    scope: trio.CancelScope,
) -> None:
    """Pass datagrams to ``on_datagram`` until the scope is cancelled."""
    with scope:
        try:
            while True:
                for datagram in await datagrams.receive_batch():
                    on_datagram(datagram.source[0], datagram.data)
        finally:
            datagrams.close()
