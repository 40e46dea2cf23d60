"""How long ago the state of this process was known to be that of the source."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic


if TYPE_CHECKING:
    from oleanderweir.peering.members import Members


# A reader counts as such, and the state of this process as that of the source, for this
# long after a response of the source proved it. Readers confirm their state every 1.6 s
# at least.
PROOF_S = 2.0
# The same while the source answers this process late: it would get no newer proof by
# calls of its own, which only add to the load of the source.
SLOW_PROOF_S = 5.0
# A response that is older than this on its arrival is late, and the source counts as
# slow for some time after it.
MAX_RESPONSE_AGE_S = 0.3
SLOW_S = 4.0
# How long a reader is remembered that confirms no more. Its lease as a member ends
# within this time.
LAPSED_READER_S = 10.0
NEVER = float("-inf")


class Freshness:
    """
    Records proofs that a state was the newest one of the source.

    A proof is a response of the source to this process, or a confirmation of a reader,
    and holds for the moment of the response. It says nothing of the time after that:
    readers may be lost at any moment, and the source may be out of their reach.
    Times are those of trio's clock, in seconds; those in which this process was paused
    don't count.
    """

    def __init__(self, *, members: Members) -> None:
        self.members = members
        # When the source last responded to this process, by topic.
        self.responded_at: dict[Topic, float] = {}
        # As of when each reader last confirmed its state, by host.
        self.confirmed_at: dict[str, float] = {}
        # As of when a reader last confirmed the state that this process has.
        self.shared_at = NEVER
        # Until when the source counts as slow.
        self.slow_until = NEVER
        # Whether the process has stood still, and its state was not proved since.
        self.is_stale = False

    @property
    def proof_s(self) -> float:
        """How long a proof counts, in seconds; longer while the source is slow."""
        is_slow = trio.current_time() < self.slow_until
        return SLOW_PROOF_S if is_slow else PROOF_S

    @property
    def own_proof_at(self) -> float:
        """When the state of all topics was last proved by calls of this process."""
        return min(self.responded_at.get(topic, NEVER) for topic in Topic)

    @property
    def proved_at(self) -> float:
        """When the state of this process was last proved, by itself or by a reader."""
        return max(self.own_proof_at, self.shared_at)

    def record_response(self, topic: Topic, *, proved_at: float) -> None:
        """Record a response of the source to this process."""
        known = self.responded_at.get(topic, NEVER)
        self.responded_at[topic] = max(known, proved_at)
        self._update_stale()
        now = trio.current_time()
        is_late = now - proved_at > MAX_RESPONSE_AGE_S
        self.slow_until = now + SLOW_S if is_late else NEVER

    def record_confirmation(
        self, reader: str, *, proved_at: float, is_shared: bool
    ) -> None:
        """Record a confirmation; ``is_shared`` if this process has the same state."""
        known = self.confirmed_at.get(reader, NEVER)
        self.confirmed_at[reader] = max(known, proved_at)
        if is_shared:
            self.shared_at = max(self.shared_at, proved_at)
        self._update_stale()

    def forget(self) -> None:
        """Discard the proofs of the own state, since this process stood still."""
        self.responded_at.clear()
        self.shared_at = NEVER
        self.is_stale = True

    def find_readers(self, *, within_s: float = PROOF_S) -> list[str]:
        """Return the hosts whose confirmation is not older than a time."""
        limit = self._moment_before(within_s)
        return [host for host, at in self.confirmed_at.items() if at >= limit]

    def find_lapsed(self, *, within_s: float = PROOF_S) -> set[str]:
        """Return the hosts that confirmed their state before, but do so no more."""
        self._discard_old()
        return self.confirmed_at.keys() - set(self.find_readers(within_s=within_s))

    def is_proved_within(self, span_s: float) -> bool:
        """Whether the state of this process was proved within a time."""
        return self.proved_at >= self._moment_before(span_s)

    def _update_stale(self) -> None:
        """Clear ``is_stale`` once a proof has come since the standstill."""
        if self.proved_at > NEVER:
            self.is_stale = False

    def _discard_old(self) -> None:
        limit = self._moment_before(LAPSED_READER_S)
        for host in [host for host, at in self.confirmed_at.items() if at < limit]:
            del self.confirmed_at[host]

    def _moment_before(self, span_s: float) -> float:
        """Return the moment since which this process has run for ``span_s``."""
        return self.members.pauses.moment_before(trio.current_time(), ran_for_s=span_s)
