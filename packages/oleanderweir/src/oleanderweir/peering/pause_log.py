"""The pauses of this process, in which the messages of its peers wait unread."""

from __future__ import annotations

from collections import deque


# Longest time between two runs of a process that isn't paused: its timers are due every
# 0.2 s at least.
MAX_RUN_INTERVAL_S = 0.3
MAX_PAUSES = 16


class PauseLog:
    """
    Tells for how long this process has run, so that its pauses don't count as silence.

    While it is frozen or gets no processor, messages wait in its sockets. Once it
    resumes, its timers may be due before it has read them. Times are those of trio's
    clock, in seconds.
    """

    def __init__(self) -> None:
        self.ran_at: float | None = None
        # Start and end of each pause, the newest last.
        self.pauses: deque[tuple[float, float]] = deque(maxlen=MAX_PAUSES)

    def record_run(self, now: float) -> None:
        """Record that the process runs; call it every ``MAX_RUN_INTERVAL_S``."""
        ran_at = self.ran_at
        if ran_at is not None and now - ran_at > MAX_RUN_INTERVAL_S:
            self.pauses.append((ran_at + MAX_RUN_INTERVAL_S, now))
        self.ran_at = now

    def moment_before(self, now: float, *, ran_for_s: float) -> float:
        """Return the moment since which the process has run for ``ran_for_s``."""
        remaining_s = ran_for_s
        end = now
        for paused_at, resumed_at in reversed(self.pauses):
            if end - resumed_at >= remaining_s:
                break
            remaining_s -= end - resumed_at
            end = paused_at
        return end - remaining_s
