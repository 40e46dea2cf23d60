"""Notices when the process stood still."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from collections.abc import Callable


logger = logging.getLogger(__name__)

# The machine was suspended if the clock that counts suspended time gains more than this
# on the monotonic clock between two checks.
MIN_SUSPENSION_S = 0.5
# The process stood still, suspended or frozen, if a check is later than this.
MIN_STANDSTILL_S = 1.0
CLOCK_CHECK_INTERVAL_S = 1.0


async def watch_clock(on_wake: Callable[[], None]) -> None:
    """
    Log each suspension of the machine; call ``on_wake`` after each standstill.

    The process has stale state after it.
    """
    skew = boot_time_s() - time.monotonic()
    while True:
        due_at = boot_time_s() + CLOCK_CHECK_INTERVAL_S
        await trio.sleep(CLOCK_CHECK_INTERVAL_S)
        if boot_time_s() - due_at > MIN_STANDSTILL_S:
            on_wake()
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
