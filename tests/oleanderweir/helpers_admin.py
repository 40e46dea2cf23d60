from __future__ import annotations

from oleanderweir.net import SocketAddress
from oleanderweir_bench.deployment.ports import find_free_port


def find_free_address() -> SocketAddress:
    """Return an address that is free, and that no connection takes meanwhile."""
    host = "127.0.0.1"
    return SocketAddress(host=host, port=find_free_port(host))
