"""The recent distribution of the times in which flows opened."""

from __future__ import annotations

import math
from collections import deque


# Recent flows that the distribution covers.
MAX_TIMES = 256
# Fewer flows than this tell no high quantile.
MIN_TIMES = 20


class OpeningTimes:
    """Times from the placement of a flow to its caller's next packet, in seconds."""

    def __init__(self) -> None:
        self.times: deque[float] = deque(maxlen=MAX_TIMES)

    def record(self, took_s: float) -> None:
        """Record the opening time of a flow."""
        self.times.append(took_s)

    def quantile(self, share: float) -> float | None:
        """Return the seconds in which a share of the flows opened, None if unknown."""
        if len(self.times) < MIN_TIMES:
            return None
        rank = math.ceil(share * len(self.times))
        return sorted(self.times)[max(rank, 1) - 1]
