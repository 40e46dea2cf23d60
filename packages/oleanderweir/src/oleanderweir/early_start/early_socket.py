"""A UDP socket that buffers datagrams while the process starts."""

from __future__ import annotations

import socket


# Enough for two seconds of packets at a balancer under high load.
BUFFER_BYTES = 4 * 1024 * 1024


def bind_udp_early(address: str) -> socket.socket:
    """Return a non-blocking UDP socket bound to ``HOST:PORT``; raise ``OSError``."""
    host, _, port = address.rpartition(":")
    raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    raw.setblocking(False)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    try:
        raw.bind((host, int(port)))
    except OSError:
        raw.close()
        raise
    return raw
