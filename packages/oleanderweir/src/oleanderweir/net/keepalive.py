"""Keepalive probes, which end a TCP connection whose peer has gone silent."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import trio


# A connection ends within three seconds after its peer stops answering, well before
# its machine counts as in touch again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The same for data that is not acknowledged, during which no probes are sent.
USER_TIMEOUT_MS = 2500

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_keepalive(stream: trio.SocketStream) -> None:
    """
    Have the kernel end a connection whose peer no longer acknowledges anything.

    Reads then raise ``trio.BrokenResourceError``. An application that doesn't respond,
    but whose kernel does, is not noticed.
    """
    for level, option, value in OPTIONS:
        stream.setsockopt(level, option, value)
