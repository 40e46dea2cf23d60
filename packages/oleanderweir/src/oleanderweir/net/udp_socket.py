"""A UDP socket that reads datagrams in batches."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.early_start import bind_udp_early
from oleanderweir.net.exceptions import AddressInUseError


if TYPE_CHECKING:
    from oleanderweir.net.socket_address import SocketAddress


MAX_DATAGRAM_BYTES = 65535
BATCH_LIMIT = 64
# More than a socket's buffer holds; others may arrive while these are read.
BACKLOG_LIMIT = 4096
PORT = struct.Struct("!H")


@attrs.define(kw_only=True)
class Datagram:
    """A datagram and its source, the ``(host, port)`` of the socket module."""

    data: bytes
    source: tuple[str, int]


class UdpSocket:
    """
    A bound, non-blocking UDP socket.

    A send that fails or would block drops the datagram, as a network may. ``send_to``
    then returns ``False``, so that its caller can count the drop. ``stdlib_socket`` is
    passed by a process that bound its socket before it loaded its libraries. Otherwise
    the constructor binds one, and raises ``AddressInUseError`` if the bind fails.
    """

    def __init__(
        self, *, bind_address: SocketAddress, stdlib_socket: socket.socket | None = None
    ) -> None:
        self.bind_address = bind_address
        try:
            self.stdlib_socket = stdlib_socket or bind_udp_early(str(bind_address))
        except OSError as error:
            raise AddressInUseError(
                f"UDP {bind_address} cannot be bound ({error.strerror}); "
                "stop the process that uses it or choose another address"
            ) from error

    async def receive_batch(self) -> list[Datagram]:
        """Wait for datagrams; return up to ``BATCH_LIMIT`` of them, in order."""
        while True:
            await trio.lowlevel.wait_readable(self.stdlib_socket)
            batch = self._read_ready()
            if batch:
                return batch

    def _read_ready(self) -> list[Datagram]:
        """Return the datagrams that can be read without waiting."""
        batch: list[Datagram] = []
        receive = self.stdlib_socket.recvfrom
        for _ in range(BATCH_LIMIT):
            try:
                data, source = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except ConnectionError:
                # An earlier send reached a closed port; that datagram is lost.
                continue
            batch.append(Datagram(data=data, source=source))
        return batch

    def read_backlog(self) -> list[Datagram]:
        """Return the datagrams that wait now, at most ``BACKLOG_LIMIT``, in order."""
        backlog: list[Datagram] = []
        while len(backlog) < BACKLOG_LIMIT and (batch := self._read_ready()):
            backlog += batch
        return backlog

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send one datagram; return whether the system accepted it."""
        try:
            self.stdlib_socket.sendto(data, address)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the socket, and wake the tasks that wait for it."""
        trio.lowlevel.notify_closing(self.stdlib_socket)
        self.stdlib_socket.close()


def pack_sockaddr(sockaddr: tuple[str, int]) -> bytes:
    """Return the packed form of a ``(host, port)`` address of the socket module."""
    return socket.inet_aton(sockaddr[0]) + PORT.pack(sockaddr[1])


def unpack_sockaddr(data: bytes) -> tuple[str, int]:
    """Return a packed address as the ``(host, port)`` of the socket module."""
    return (socket.inet_ntoa(data[:4]), PORT.unpack_from(data, 4)[0])
