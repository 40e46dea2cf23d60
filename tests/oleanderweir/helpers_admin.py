from __future__ import annotations

import ipaddress
import itertools
import os

from oleanderweir.net import SocketAddress


LOOPBACK_START = int(ipaddress.IPv4Address("127.64.0.0"))
MAX_PROCESS_ID = 2**22
# Below the ephemeral port range of the kernel.
PORTS = itertools.count(20_000)


def find_free_address() -> SocketAddress:
    """
    Return an address that is free for TCP and UDP.

    The loopback host is specific to this process and each port is returned once, so no
    other process or test binds the address before the caller does.
    """
    host = str(ipaddress.IPv4Address(LOOPBACK_START + os.getpid() % MAX_PROCESS_ID))
    return SocketAddress(host=host, port=next(PORTS))
