"""The faults of a soak that are active at the moment."""

from __future__ import annotations

import attrs
import trio


@attrs.define(kw_only=True, eq=False)
class ActiveFaults:
    """
    Counts the active faults of a soak, which can overlap.

    ``ended_at`` is when a fault last ended, in seconds of trio's clock.
    """

    count: int = 0
    ended_at: float = float("-inf")

    def start(self) -> None:
        """Record that a fault starts."""
        self.count += 1

    def end(self) -> None:
        """Record that a fault has ended."""
        self.count -= 1
        self.ended_at = trio.current_time()

    def have_ended_by(self, moment: float) -> bool:
        """Whether no fault is active, and none was at ``moment`` or later."""
        return self.count == 0 and self.ended_at <= moment
