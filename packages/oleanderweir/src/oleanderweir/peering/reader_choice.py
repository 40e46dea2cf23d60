"""
Which processes follow the backend servers at their source.

Answers the load of a large fleet: if each process watched, each change would wake and
charge one call a process. A few readers watch and pass changes on.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


# Readers at a time; any two may be cut off or deceived by a silent connection.
READERS = 3


def rank_host(host: str) -> int:
    """Return the place of a host, the same in every process."""
    return zlib.crc32(host.encode())


def is_reader(own_host: str, connected: Iterable[str]) -> bool:
    """
    Whether a process should read, given the hosts that say they do.

    A process reads unless enough others with a lower rank do. So every process reads
    at its start, and steps back once it hears from readers that go before it.
    """
    own_rank = rank_host(own_host)
    before = sum(rank_host(host) < own_rank for host in connected)
    return before < READERS
