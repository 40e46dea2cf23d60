"""The source of feeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class FeedSource:
    """Generates feeds and counts the open ones."""

    def __init__(self) -> None:
        self.open_feeds = 0

    async def lines(self, interval_ms: float) -> AsyncIterator[bytes]:
        """
        Yield ``tick 1``, ``tick 2`` and so on until closed.

        The first tick sets the schedule. A late tick does not shift it and none is
        skipped: the ticks that are due follow at once.
        """
        self.open_feeds += 1
        try:
            next_at = trio.current_time()
            number = 1
            while True:
                yield b"tick %d\n" % number
                number += 1
                next_at += interval_ms / 1000
                await trio.sleep_until(next_at)
        finally:
            self.open_feeds -= 1
