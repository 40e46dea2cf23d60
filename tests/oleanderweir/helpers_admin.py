from __future__ import annotations

from oleanderweir.admin import bind_tcp_socket
from oleanderweir.net import SocketAddress


def find_free_address() -> SocketAddress:
    """Return an address whose port the kernel chose; it is free again."""
    with bind_tcp_socket(SocketAddress(host="127.0.0.1", port=0)) as bound:
        return SocketAddress(host="127.0.0.1", port=bound.getsockname()[1])
