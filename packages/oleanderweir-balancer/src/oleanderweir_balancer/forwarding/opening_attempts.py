"""The agents that returned one opening packet."""

from __future__ import annotations

import attrs


# Backend servers that may refuse one opening packet, or leave it unanswered.
MAX_REFUSALS = 3
# Agents that may return one opening packet because requests are queued there.
MAX_BUSY_REJECTIONS = 2
# Agents that may return one opening packet because of the rate limit of a cold start.
# After many starts at once, most candidates may be at it.
MAX_COLD_REJECTIONS = 3
# Callers send the first copy of an opening packet after this time.
FIRST_COPY_DELAY_S = 0.2


@attrs.define(kw_only=True, eq=False)
class OpeningAttempts:
    """
    Agents that returned the opening packet of a flow.

    ``started_at`` is when it arrived or was first placed, ``updated_at`` when it was
    last placed from the queue or returned, in seconds of trio's clock.
    Those in ``refused`` could not accept it; those in ``busy`` would have queued it;
    the backend servers of those in ``cold`` were at the rate limit of a cold start.
    The backend servers of those in ``unanswered`` may still accept it, late. Those in
    ``evacuated`` are in an availability zone that operators have evacuated, by a newer
    state than that of the balancer; they don't count towards ``MAX_REFUSALS``.
    """

    started_at: float
    updated_at: float
    refused: set[str] = attrs.field(factory=set)
    unanswered: set[str] = attrs.field(factory=set)
    busy: set[str] = attrs.field(factory=set)
    evacuated: set[str] = attrs.field(factory=set)
    cold: set[str] = attrs.field(factory=set)

    @property
    def failed(self) -> set[str]:
        """The agents that aren't tried again, not even as the last resort."""
        return self.refused | self.unanswered | self.evacuated

    @property
    def excluded(self) -> set[str]:
        """The agents that the next attempt excludes."""
        return self.failed | self.busy | self.cold

    @property
    def is_exhausted(self) -> bool:
        """Whether no further attempt is made."""
        return len(self.refused | self.unanswered) >= MAX_REFUSALS

    def may_have_opened(self, *, now: float) -> bool:
        """
        Whether a backend server may have opened the flow.

        Another balancer may have placed a copy by the time of a late answer.
        """
        return bool(self.unanswered) or now - self.started_at >= FIRST_COPY_DELAY_S

    def is_last_resort(self, host: str) -> bool:
        """Whether an agent is asked to accept the flow as the last resort."""
        if host in self.busy | self.cold:
            return True
        has_many_busy = len(self.busy) >= MAX_BUSY_REJECTIONS
        return has_many_busy or len(self.cold) >= MAX_COLD_REJECTIONS

    def on_cold(self, host: str) -> None:
        """
        Record that an agent returned the packet because of a cold start.

        One that was asked as the last resort can't accept the flow at all.
        """
        if self.is_last_resort(host):
            self.refused.add(host)
        else:
            self.cold.add(host)
