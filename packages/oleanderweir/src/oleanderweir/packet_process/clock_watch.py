"""Logs suspensions of the machine."""

from __future__ import annotations

import logging
import time

import trio


logger = logging.getLogger(__name__)

# The machine was suspended if the clock that counts suspended time gains more than this
# on the monotonic clock between two checks.
MIN_SUSPENSION_S = 0.5
CLOCK_CHECK_INTERVAL_S = 1.0


async def watch_clock() -> None:
    """Log each suspension of the machine: the process has stale state after it."""
    skew = boot_time_s() - time.monotonic()
    while True:
        await trio.sleep(CLOCK_CHECK_INTERVAL_S)
        now_skew = boot_time_s() - time.monotonic()
        if now_skew - skew > MIN_SUSPENSION_S:
            logger.warning(
                "the machine was suspended",
                extra={"code": "suspended", "for_s": round(now_skew - skew, 3)},
            )
        skew = now_skew


def boot_time_s() -> float:
    """Return the time since boot in seconds, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
