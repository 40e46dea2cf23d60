"""Counts the reads of a stand-in and limits their rate."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from collections.abc import Iterator


MAX_READS_PER_S = 2_000


@attrs.define(kw_only=True)
class ReadMeter:
    """
    Counts calls, and limits the reads per second.

    The reads of a second are the calls that arrive during it plus the waiting watches.
    """

    max_reads_per_s: int = MAX_READS_PER_S
    calls: Counter[str] = attrs.field(factory=Counter)
    rejected: int = 0
    waiting_watches: int = 0
    peak_reads_per_s: int = 0
    second: int = 0
    calls_in_second: int = 0

    def admit(self, path: str) -> bool:
        """Count a call; return whether it is within the limit."""
        second = int(trio.current_time())
        if second != self.second:
            self.second = second
            self.calls_in_second = 0
        self.calls[path] += 1
        self.calls_in_second += 1
        reads_per_s = self.calls_in_second + self.waiting_watches
        self.peak_reads_per_s = max(self.peak_reads_per_s, reads_per_s)
        is_admitted = reads_per_s <= self.max_reads_per_s
        if not is_admitted:
            self.rejected += 1
        return is_admitted

    @contextmanager
    def count_watch(self) -> Iterator[None]:
        """Count a watch as waiting while the context is active."""
        self.waiting_watches += 1
        try:
            yield
        finally:
            self.waiting_watches -= 1
