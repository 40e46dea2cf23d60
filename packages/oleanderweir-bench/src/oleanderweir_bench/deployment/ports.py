"""Allocation of free ports."""

from __future__ import annotations

import random
import socket

from oleanderweir_bench.exceptions import BindError


MAX_ATTEMPTS = 50
# Below the kernel's range of ephemeral ports, so that no outgoing connection uses an
# allocated port.
FIRST_PORT = 16_000
LAST_PORT = 32_000

allocated_ports: set[int] = set()


def find_free_port(*hosts: str) -> int:
    """
    Return a port that is free for UDP and TCP on every one of ``hosts``.

    Raise ``BindError`` when none is found. The port is not bound, so other processes
    can still bind it, but this process returns each port only once.
    """
    for _ in range(MAX_ATTEMPTS):
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in allocated_ports:
            continue
        if all(is_port_free(host, port) for host in hosts):
            allocated_ports.add(port)
            return port
    raise BindError(
        f"found no free port on {', '.join(hosts)} in {MAX_ATTEMPTS} attempts; "
        f"stop processes that use ports {FIRST_PORT} to {LAST_PORT}"
    )


def is_port_free(host: str, port: int) -> bool:
    """Return whether a port is free for UDP and TCP on a host."""
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
