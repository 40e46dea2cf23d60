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
    Calls ``on_stall`` with the seconds for which this process didn't run.

    On a machine that is too busy, every stand-in of the soak then stops at once: the
    store, the routers, the callers and the backend servers.
    """

    def __init__(self, *, on_stall: Callable[[float], None]) -> None:
        self.on_stall = on_stall

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            due_at = trio.current_time() + CHECK_INTERVAL_S
            await trio.sleep_until(due_at)
            late_s = trio.current_time() - due_at
            if late_s >= MIN_STALL_S:
                self.on_stall(late_s)
