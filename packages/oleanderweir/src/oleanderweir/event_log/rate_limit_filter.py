"""Limits the rate of log lines."""

from __future__ import annotations

import logging
import time
from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


# Lines per code and window. Rare events are logged completely, frequent ones sampled.
MAX_LINES_PER_CODE = 20
WINDOW_S = 1.0


class RateLimitFilter(logging.Filter):
    """
    Passes the first lines of each code in each second and counts the suppressed ones.

    The next line of that code reports the count in its field ``left_out``. ``clock``
    returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        max_lines: int = MAX_LINES_PER_CODE,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.max_lines = max_lines
        self.clock = clock
        self.window_started_at = float("-inf")
        self.passed: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is logged."""
        now = self.clock()
        if now - self.window_started_at >= WINDOW_S:
            self.window_started_at = now
            self.passed.clear()
        code = getattr(record, "code", record.name)
        if self.passed[code] >= self.max_lines:
            self.suppressed[code] += 1
            return False
        self.passed[code] += 1
        if self.suppressed[code]:
            record.left_out = self.suppressed.pop(code)
        return True
