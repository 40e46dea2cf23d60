"""The recent distribution of the times that some work took."""

from __future__ import annotations

import math
from collections import deque


# Recent times that the distribution covers.
MAX_TIMES = 256
# Fewer times than this tell no high quantile.
MIN_TIMES = 20


class RecentTimes:
    """Times that one kind of work took, in seconds."""

    def __init__(self) -> None:
        self.times: deque[float] = deque(maxlen=MAX_TIMES)

    def record(self, took_s: float) -> None:
        """Record the time of one piece of work."""
        self.times.append(took_s)

    def quantile(self, share: float) -> float | None:
        """Return the seconds in which a share of it was done, None if unknown."""
        if len(self.times) < MIN_TIMES:
            return None
        rank = math.ceil(share * len(self.times))
        return sorted(self.times)[max(rank, 1) - 1]
