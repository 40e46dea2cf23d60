"""Hosts in the order of a hash ring."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from oleanderweir.rendezvous import score


if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet


PURPOSE = "confirmation"
POSITION_BYTES = 4
LAST_POSITION = 2 ** (8 * POSITION_BYTES)


def ring_position(host: str) -> int:
    """Return the position of a host, from 1 to ``LAST_POSITION``."""
    return 1 + int.from_bytes(score(host, purpose=PURPOSE)[:POSITION_BYTES], "big")


class HostRing:
    """Keeps hosts ordered by their positions, which are equal in all processes."""

    def __init__(self) -> None:
        self.known: set[str] = set()
        # Positions and hosts, in this order.
        self.entries: list[tuple[int, str]] = []

    def update(self, hosts: AbstractSet[str]) -> None:
        """Replace the hosts."""
        for host in self.known - hosts:
            self.known.discard(host)
            self.entries.remove((ring_position(host), host))
        for host in hosts - self.known:
            self.known.add(host)
            bisect.insort(self.entries, (ring_position(host), host))

    def find_section(self, first: int, last: int) -> list[str]:
        """
        Return the hosts from one position to another, in the order of the ring.

        A section with ``last < first`` contains the end of the ring.
        """
        if last < first:
            return [*self._slice(first, LAST_POSITION), *self._slice(1, last)]
        return self._slice(first, last)

    def _slice(self, first: int, last: int) -> list[str]:
        """Return the hosts from a position to a later one."""
        start = bisect.bisect_left(self.entries, (first, ""))
        end = bisect.bisect_left(self.entries, (last + 1, ""))
        return [host for _, host in self.entries[start:end]]
