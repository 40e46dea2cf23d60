"""What a merge did with one entry."""

from __future__ import annotations

import enum


class MergeOutcome(enum.Enum):
    """What a merge did with one entry."""

    IN_FORCE = "in_force"
    KNOWN = "known"
    OLDER = "older"
    BELOW_FLOOR = "below_floor"
    CONFLICT_WON = "conflict_won"
    CONFLICT_LOST = "conflict_lost"

    @property
    def is_in_force(self) -> bool:
        """Whether the offered entry replaced what was held."""
        return self in {MergeOutcome.IN_FORCE, MergeOutcome.CONFLICT_WON}

    @property
    def is_conflict(self) -> bool:
        """Whether one ticket number came with two contents."""
        return self in {MergeOutcome.CONFLICT_WON, MergeOutcome.CONFLICT_LOST}
