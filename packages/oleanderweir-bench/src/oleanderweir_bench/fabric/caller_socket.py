"""The sockets of the fabric, one for each caller."""

from __future__ import annotations

import socket

import attrs
import trio

from oleanderweir_bench.exceptions import BindError


SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


def open_udp_socket(host: str, port: int = 0) -> socket.socket:
    """
    Return a bound, non-blocking UDP socket with large buffers.

    Raise ``BindError`` if the address is in use or not local.
    """
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    udp.setblocking(False)
    try:
        udp.bind((host, port))
    except OSError as error:
        udp.close()
        raise BindError(
            f"cannot bind UDP {host}:{port} ({error.strerror}); choose a free address"
        ) from error
    return udp


@attrs.define(kw_only=True, eq=False)
class CallerSocket:
    """
    The socket whose address balancers see as the address of ``caller``.

    ``caller`` is a host and a port as the socket module returns them. ``last_used_at``
    is on trio's clock, in seconds.
    """

    caller: tuple[str, int]
    socket: socket.socket
    last_used_at: float = attrs.field(factory=trio.current_time)
    cancel_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
