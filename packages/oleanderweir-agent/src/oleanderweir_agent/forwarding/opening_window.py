"""A sliding window over the opening packets sent to the backend server."""

from __future__ import annotations

from collections import deque


# The limit holds for each second of the arrivals at the backend server. They can be
# closer together than the departures here by the time that a packet is delayed.
WINDOW_S = 1.0
MAX_DELIVERY_DELAY_S = 0.25


class OpeningWindow:
    """
    Counts the opening packets of the last ``span_s`` seconds.

    Before the process has run for that long, an earlier process of the agent may have
    sent some that are not counted here.
    """

    def __init__(self) -> None:
        self.span_s = WINDOW_S + MAX_DELIVERY_DELAY_S
        # Times of the opening packets, in seconds of trio's clock, the oldest first.
        self.sent_at: deque[float] = deque()
        self.counted_since: float | None = None

    def on_run(self, *, now: float) -> None:
        """Record that this process sees every opening packet from ``now`` on."""
        if self.counted_since is None:
            self.counted_since = now

    def is_complete(self, *, now: float) -> bool:
        """Whether no opening packet of an earlier process is missing."""
        return self.counted_since is not None and now - self.counted_since > self.span_s

    def add(self, *, now: float) -> None:
        """Count an opening packet."""
        self.sent_at.append(now)
        self._discard_old(now)

    def count(self, *, now: float) -> int:
        """Return the number of opening packets in the window that ends now."""
        self._discard_old(now)
        return len(self.sent_at)

    def _discard_old(self, now: float) -> None:
        while self.sent_at and now - self.sent_at[0] > self.span_s:
            self.sent_at.popleft()
