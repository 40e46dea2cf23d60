"""Notices when the process of the soak doesn't run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from collections.abc import Callable


CHECK_INTERVAL_S = 0.1
# Delay of a check that counts as a stall.
MIN_STALL_S = 0.5


class StallWatch:
    """
    Measures for how long this process didn't run, and reports it to ``on_stall``.

    On a machine that is too busy, every stand-in of the soak then stops at once: the
    store, the routers, the callers and the backend servers.
    """

    def __init__(
        self,
        *,
        on_stall: Callable[[float], None] = lambda _: None,
        min_stall_s: float = MIN_STALL_S,
    ) -> None:
        self.on_stall = on_stall
        self.min_stall_s = min_stall_s
        self.due_at = float("inf")
        # The end and the duration of each stall, in seconds of trio's clock.
        self.stalls: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.due_at = trio.current_time() + CHECK_INTERVAL_S
            await trio.sleep_until(self.due_at)
            late_s = self._late_s()
            if late_s:
                self.stalls.append((trio.current_time(), late_s))
                self.on_stall(late_s)

    def stalled_since(self, moment: float) -> float:
        """
        Return for how long this process didn't run since then.

        After a stall, other tasks may run before the check that records it.
        """
        now = trio.current_time()
        stalls = [*self.stalls, (now, self._late_s())]
        return sum(
            min(duration, ended_at - moment)
            for ended_at, duration in stalls
            if ended_at > moment
        )

    def _late_s(self) -> float:
        """Return by how much the next check is late, or 0 if that is no stall."""
        late_s = trio.current_time() - self.due_at
        return late_s if late_s >= self.min_stall_s else 0.0
