"""The searches that run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir.lookups.lookup import Lookup


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


# One sender's window of packets.
MAX_BUFFERED_PACKETS = 16
# Bounds the memory of searches; each is one flow that nobody answered for.
MAX_LOOKUPS = 4096
# An unanswered search is repeated after this time, then after twice as long each time:
# its datagrams may be lost, and an agent that starts at the same moment has no socket
# yet. Callers send again only after up to 1.6 s.
FIRST_RETRY_S = 0.1
# A caller gives up within a few seconds; later packets start a new search.
LOOKUP_TIMEOUT_S = 3.0


class LookupTable:
    """Holds the packets of flows whose owner is being asked for, within bounds."""

    def __init__(self) -> None:
        self.lookups: dict[FlowKey, Lookup] = {}
        self.opened = trio.Event()

    def open(self, key: FlowKey, *, now: float) -> Lookup | None:
        """Return the search of a flow, started if need be; nothing when full."""
        lookup = self.lookups.get(key)
        if lookup is None and len(self.lookups) < MAX_LOOKUPS:
            lookup = Lookup(key=key, started_at=now, queried_at=float("-inf"))
            self.lookups[key] = lookup
            self.opened.set()
        return lookup

    async def wait_for_any(self) -> None:
        """Return once any search runs."""
        if not self.lookups:
            self.opened = trio.Event()
            await self.opened.wait()

    def buffer(self, lookup: Lookup, packet: Packet) -> bool:
        """Keep a packet until the owner is known; return whether there was room."""
        if len(lookup.buffered) >= MAX_BUFFERED_PACKETS:
            return False
        lookup.buffered.append(packet)
        return True

    def is_due(self, lookup: Lookup, *, now: float) -> bool:
        """Whether the agents should be asked now."""
        wait_s = math.ldexp(FIRST_RETRY_S, max(0, lookup.attempts - 1))
        return now - lookup.queried_at >= wait_s

    def deferred(self) -> list[Lookup]:
        """Return the searches that hold packets and that no agent was asked for."""
        return [it for it in self.lookups.values() if it.buffered and not it.queried]

    def due_for_retry(self, *, now: float) -> list[Lookup]:
        """
        Return the searches whose agents should be asked again.

        Packets without payload are not: most belong to flows that just ended, and
        nobody waits for an answer to them.
        """
        return [
            it
            for it in self.lookups.values()
            if it.query is not None
            and it.query.payload_bytes
            and not it.has_no_owner
            and self.is_due(it, now=now)
        ]

    def close(self, key: FlowKey) -> Lookup | None:
        """End the search of a flow; return it."""
        return self.lookups.pop(key, None)

    def expire(self, *, now: float) -> list[Lookup]:
        """End and return the searches that nobody answered in time."""
        limit = now - LOOKUP_TIMEOUT_S
        over = [it for it in self.lookups.values() if it.started_at < limit]
        for lookup in over:
            del self.lookups[lookup.key]
        return over
