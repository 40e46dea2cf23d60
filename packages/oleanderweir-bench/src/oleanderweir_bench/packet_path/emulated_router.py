"""The routers in front of the balancers."""

from __future__ import annotations

import zlib


class EmulatedRouter:
    """
    Picks a balancer for each packet by a hash of its flow.

    ``is_steady``: only the flows of a balancer that joins or leaves move; otherwise
    nearly all do.
    """

    def __init__(self, *, is_steady: bool = True) -> None:
        self.is_steady = is_steady
        self.hosts: list[str] = []

    def choose(self, key: bytes) -> str | None:
        """Return the host that gets a packet, or nothing when none is in rotation."""
        if not self.hosts:
            return None
        if not self.is_steady:
            return self.hosts[zlib.crc32(key) % len(self.hosts)]
        return max(self.hosts, key=lambda host: zlib.crc32(key + host.encode()))
