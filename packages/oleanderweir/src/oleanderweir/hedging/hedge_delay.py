"""The time after which work counts as slow."""

from __future__ import annotations

from oleanderweir.hedging.recent_times import RecentTimes


# Most work has completed by the delay: this share of the recent work.
DELAY_QUANTILE = 0.95


class HedgeDelay:
    """
    A high quantile of the recent times, in seconds, within ``min_s`` and ``max_s``.

    It follows the load: where all work slows down, none of it counts as slow for long.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.times = RecentTimes()

    def record(self, took_s: float) -> None:
        """Record the time that one piece of work took, in seconds."""
        self.times.record(took_s)

    def read(self) -> float | None:
        """Return the delay in seconds, None until there are enough recent times."""
        usual_s = self.times.quantile(DELAY_QUANTILE)
        if usual_s is None:
            return None
        return min(max(usual_s, self.min_s), self.max_s)
