"""Emulated routers in front of the balancers."""

from __future__ import annotations

import zlib


class EmulatedRouter:
    """
    Selects a balancer for each packet by a hash of its flow.

    With ``uses_rendezvous_hash``, only the flows of a balancer that joins or leaves
    move to another balancer. Without it, the hash is taken modulo the number of
    balancers, and nearly all flows move.
    """

    def __init__(self, *, uses_rendezvous_hash: bool = True) -> None:
        self.uses_rendezvous_hash = uses_rendezvous_hash
        self.hosts: list[str] = []

    def choose(self, key: bytes) -> str | None:
        """Return the balancer for a flow, or ``None`` when none is in rotation."""
        if not self.hosts:
            return None
        if not self.uses_rendezvous_hash:
            return self.hosts[zlib.crc32(key) % len(self.hosts)]
        return max(self.hosts, key=lambda host: zlib.crc32(key + host.encode()))
