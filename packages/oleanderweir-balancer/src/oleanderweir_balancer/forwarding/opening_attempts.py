"""The agents that returned one opening packet."""

from __future__ import annotations

import attrs


# Backend servers that may refuse one opening packet, or leave it unanswered.
MAX_REFUSALS = 3
# Agents that may return one opening packet because requests are queued there.
MAX_BUSY_REJECTIONS = 2
# Callers send the first copy of an opening packet after this time.
FIRST_COPY_DELAY_S = 0.2


@attrs.define(kw_only=True, eq=False)
class OpeningAttempts:
    """
    Agents that returned the opening packet of a flow.

    ``started_at`` is when it arrived or was first placed, ``updated_at`` when it was
    last placed from the queue or returned, in seconds of trio's clock.
    Those in ``refused`` could not accept it; those in ``busy`` would have queued it.
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

    @property
    def excluded(self) -> set[str]:
        """The agents that the next attempt excludes."""
        return self.refused | self.unanswered | self.busy | self.evacuated

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

    def must_accept(self, host: str) -> bool:
        """Whether an agent must accept the flow even if requests are queued there."""
        return host in self.busy or len(self.busy) >= MAX_BUSY_REJECTIONS
