"""One QUIC client connection that runs in trio."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import trio
from aioquic.quic.connection import QuicConnection


if TYPE_CHECKING:
    from collections.abc import Callable

    from aioquic.quic.configuration import QuicConfiguration
    from aioquic.quic.events import QuicEvent

    from oleanderweir.net import SocketAddress


MAX_DATAGRAM_BYTES = 65536


class QuicSession:
    """
    Sends and receives packets and runs the timers of one client connection.

    ``handle_event`` is called with each event of the connection; set it before ``run``
    starts. Setting ``is_terminated`` stops ``run``. ``now`` must read trio's clock.
    """

    def __init__(
        self,
        *,
        address: SocketAddress,
        configuration: QuicConfiguration,
        local_host: str,
        now: Callable[[], float],
    ) -> None:
        self.address = address
        self.now = now
        self.quic = QuicConnection(configuration=configuration)
        self.handle_event: Callable[[QuicEvent], None] = lambda _: None
        self.wait_scope: trio.CancelScope | None = None
        self.is_terminated = False
        self.is_closed = False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((local_host, 0))
        self.socket.connect(address.sockaddr)

    def connect(self) -> None:
        """Send the first packet of the handshake."""
        self.quic.connect(self.address.sockaddr, now=self.now())
        self.transmit()

    def close(self, error_code: int) -> None:
        """Send CONNECTION_CLOSE and close the socket."""
        if self.is_closed:
            return
        self.quic.close(error_code=error_code)
        self.transmit()
        self.is_closed = True
        self.socket.close()

    async def run(self) -> None:
        """Receive packets and run QUIC's timers until the connection is terminated."""
        while not self.is_terminated:
            with trio.CancelScope(deadline=self.timer_at) as self.wait_scope:
                await trio.lowlevel.wait_readable(self.socket)
            self.receive_queued()
            if self.now() >= self.timer_at:
                self.quic.handle_timer(now=self.now())
            while (event := self.quic.next_event()) is not None:
                self.handle_event(event)
            self.transmit()

    @property
    def timer_at(self) -> float:
        """The time of QUIC's next timer, on trio's clock, in seconds."""
        timer_at = self.quic.get_timer() if self.quic.get_peer_address() else None
        return math.inf if timer_at is None else timer_at

    def receive_queued(self) -> None:
        """Receive all packets that are queued in the socket."""
        while True:
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                # ICMP reported an earlier packet as undeliverable. This is ignored:
                # QUIC's timers decide when the connection is lost.
                continue
            self.quic.receive_datagram(data, self.address.sockaddr, now=self.now())

    def transmit(self) -> None:
        """Send the packets that QUIC has queued and reschedule the timer."""
        if self.is_closed:
            return
        for data, _ in self.quic.datagrams_to_send(now=self.now()):
            try:
                self.socket.send(data)
            except (BlockingIOError, ConnectionRefusedError):
                # A packet that cannot be sent counts as lost; QUIC sends it again.
                continue
        if self.wait_scope is not None:
            self.wait_scope.deadline = self.timer_at
