"""A session that keeps a feed open and counts its ticks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.callers import CallerError


if TYPE_CHECKING:
    from oleanderweir_bench.callers import Feed


TICK_PREFIX = "tick "


@attrs.define(kw_only=True, eq=False)
class FeedSession:
    """
    The state of one session and its feed.

    ``last_tick`` is the number of the newest tick; ``missing`` and ``doubled`` count
    ticks. ``longest_gap_s`` is the longest time between two ticks. ``error`` says why
    the feed ended, ``probe_error`` why the report at the end failed; both are empty for
    a session without faults. ``has_moved`` is set if a GOAWAY required another session
    for the report. ``opened`` is set at the first tick, or when the session fails.
    """

    number: int
    last_tick: int = 0
    missing: int = 0
    doubled: int = 0
    longest_gap_s: float = 0.0
    last_tick_at: float = -math.inf
    error: str = ""
    probe_error: str = ""
    has_moved: bool = False
    opened: trio.Event = attrs.field(factory=trio.Event)

    async def read_ticks(self, feed: Feed) -> None:
        """Read ticks until cancelled, or until the feed fails or ends."""
        try:
            async for line in feed:
                self.record_line(line)
        except CallerError as error:
            self.error = str(error)
            return
        self.error = "the feed ended"

    def record_line(self, line: str) -> None:
        """Record the tick in one line of the feed."""
        number = int(line.removeprefix(TICK_PREFIX))
        now = trio.current_time()
        if number <= self.last_tick:
            self.doubled += 1
            return
        self.missing += number - self.last_tick - 1
        self.last_tick = number
        if math.isfinite(self.last_tick_at):
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_tick_at)
        self.last_tick_at = now
        self.opened.set()

    def is_stalled(self, now: float, limit_s: float) -> bool:
        """Whether no tick came in the last ``limit_s`` seconds."""
        return now - self.last_tick_at > limit_s

    @property
    def is_broken(self) -> bool:
        """Whether the feed or the report at the end failed."""
        return bool(self.error or self.probe_error)
