"""The lookups in progress."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir.lookups.lookup import Lookup


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.lookups.found_owner import FoundOwner


# Packets per lookup: the send window of one caller.
MAX_BUFFERED_PACKETS = 16
# Bounds the memory of unanswered lookups, one for each flow.
MAX_LOOKUPS = 4096
# Delay before the first retry of an unanswered lookup; it doubles with each retry. A
# query may be lost, and an agent that is starting has no socket yet. Callers retransmit
# only after up to 1.6 s.
FIRST_RETRY_S = 0.1
# Callers give up within a few seconds; later packets start a new lookup.
LOOKUP_TIMEOUT_S = 3.0


class LookupTable:
    """Holds a limited number of lookups, each with a limited number of packets."""

    def __init__(self) -> None:
        self.lookups: dict[FlowKey, Lookup] = {}
        # Owners that were found while other backend servers were being asked.
        self.found: dict[FlowKey, FoundOwner] = {}
        self.opened = trio.Event()

    def find(self, packet: Packet) -> Lookup | None:
        """Return the lookup of a packet's flow, if it is in progress."""
        lookup = self.lookups.get(packet.key)
        return lookup if lookup is not None and lookup.is_of(packet) else None

    def open(self, packet: Packet, *, now: float) -> Lookup | None:
        """
        Return the lookup of a packet's flow, a new one if needed; ``None`` if full.

        It replaces that of another flow of the port, whose denials don't count for it.
        """
        lookup = self.find(packet)
        if lookup is not None:
            lookup.acknowledged = packet.acknowledged
            return lookup
        self.lookups.pop(packet.key, None)
        if len(self.lookups) >= MAX_LOOKUPS:
            return None
        lookup = Lookup(
            key=packet.key,
            acknowledged=packet.acknowledged,
            started_at=now,
            queried_at=float("-inf"),
        )
        self.lookups[packet.key] = lookup
        self.opened.set()
        return lookup

    async def wait_for_any(self) -> None:
        """Wait until at least one lookup is in progress."""
        if not self.lookups:
            self.opened = trio.Event()
            await self.opened.wait()

    def buffer(self, lookup: Lookup, packet: Packet) -> bool:
        """Buffer a packet until the owner is known; return whether there was room."""
        if len(lookup.buffered) >= MAX_BUFFERED_PACKETS:
            return False
        lookup.buffered.append(packet)
        query = lookup.query
        if query is not None and not query.is_retransmitted and packet.is_retransmitted:
            # A backend server answers this packet, but not a mere acknowledgement.
            lookup.query = packet
        return True

    def is_due(self, lookup: Lookup, *, now: float) -> bool:
        """Whether the next queries of a lookup should be sent now."""
        wait_s = math.ldexp(FIRST_RETRY_S, max(0, lookup.attempts - 1))
        return now - lookup.queried_at >= wait_s

    def deferred(self) -> list[Lookup]:
        """Return the lookups that have buffered packets but sent no query yet."""
        return [
            lookup
            for lookup in self.lookups.values()
            if lookup.buffered and not lookup.queried
        ]

    def due_for_retry(self, *, now: float) -> list[Lookup]:
        """
        Return the lookups whose queries should be sent again.

        Lookups of mere acknowledgements are not retried: most belong to flows that have
        just closed, and their callers expect no answer.
        """
        return [lookup for lookup in self.repeated() if self.is_due(lookup, now=now)]

    def repeated(self) -> list[Lookup]:
        """Return the unanswered lookups whose queries are repeated."""
        return [
            lookup
            for lookup in self.lookups.values()
            if lookup.query is not None
            and lookup.query.is_retransmitted
            and not lookup.has_no_owner
        ]

    def close(self, key: FlowKey) -> Lookup | None:
        """Remove the lookup of a flow and return it."""
        return self.lookups.pop(key, None)

    def expire(self, *, now: float) -> list[Lookup]:
        """Remove and return the lookups that exceeded ``LOOKUP_TIMEOUT_S``."""
        limit = now - LOOKUP_TIMEOUT_S
        expired = [
            lookup for lookup in self.lookups.values() if lookup.started_at < limit
        ]
        for lookup in expired:
            del self.lookups[lookup.key]
        self.found = {k: f for k, f in self.found.items() if f.found_at > limit}
        return expired
