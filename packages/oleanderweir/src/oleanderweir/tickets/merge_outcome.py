"""The outcome of merging one entry."""

from __future__ import annotations

import enum


class MergeOutcome(enum.Enum):
    """The outcome of merging one entry."""

    IN_FORCE = "in_force"
    KNOWN = "known"
    OLDER = "older"
    BELOW_FLOOR = "below_floor"
    CONFLICT_WON = "conflict_won"
    CONFLICT_LOST = "conflict_lost"

    @property
    def is_in_force(self) -> bool:
        """Whether the merged entry is now the entry of its key."""
        return self in {MergeOutcome.IN_FORCE, MergeOutcome.CONFLICT_WON}

    @property
    def is_conflict(self) -> bool:
        """Whether one ticket number arrived with two different contents."""
        return self in {MergeOutcome.CONFLICT_WON, MergeOutcome.CONFLICT_LOST}
