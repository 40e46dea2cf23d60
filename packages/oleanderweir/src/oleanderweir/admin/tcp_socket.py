"""Binds TCP sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from oleanderweir.net import AddressInUseError


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


def bind_tcp_socket(address: SocketAddress) -> socket.socket:
    """Return a bound TCP socket; raise ``AddressInUseError`` if the bind fails."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind(address.sockaddr)
    except OSError as error:
        bound.close()
        raise AddressInUseError(
            f"TCP {address} cannot be bound ({error.strerror}); "
            "stop the process that uses it or choose another address"
        ) from error
    return bound
