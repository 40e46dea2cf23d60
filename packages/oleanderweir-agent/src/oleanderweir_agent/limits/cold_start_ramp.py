"""The gradual rise of the limit after a backend server has started."""

from __future__ import annotations

import math

import attrs
import trio


COLD_START_S = 10.0
INITIAL_SHARE = 0.25


@attrs.define(kw_only=True)
class ColdStartRamp:
    """
    A share of the slots that rises from ``initial_share`` to 1 over ``duration_s``.

    ``started_at`` is the trio time of the last ``restart``. By default the ramp is
    complete.
    """

    duration_s: float = COLD_START_S
    initial_share: float = INITIAL_SHARE
    started_at: float = -math.inf

    def restart(self) -> None:
        """Restart the ramp at the current time."""
        self.started_at = trio.current_time()

    @property
    def share(self) -> float:
        """The share of the slots that may be used now, above 0 and at most 1."""
        age_s = trio.current_time() - self.started_at
        if age_s >= self.duration_s:
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * age_s / self.duration_s

    def limit(self, slots: int) -> int:
        """Return how many of the slots may be used now, at least 1."""
        share = self.share
        if share >= 1.0:
            return slots
        return max(1, math.floor(slots * share))

    def next_rise_at(self, slots: int) -> float:
        """Return the trio time of the next rise, infinite if the ramp is complete."""
        if self.share >= 1.0:
            return math.inf
        next_share = (self.limit(slots) + 1) / slots
        if next_share >= 1.0:
            return self.started_at + self.duration_s
        rise = (next_share - self.initial_share) / (1.0 - self.initial_share)
        return self.started_at + rise * self.duration_s
