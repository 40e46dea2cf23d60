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
# The process stood still, suspended or frozen, if two checks are further apart than
# this. An address may be used again 2 s after the loss of its backend server.
MIN_STANDSTILL_S = 1.4
CLOCK_CHECK_INTERVAL_S = 0.4


class ClockWatch:
    """
    Logs each suspension of the machine; calls ``on_wake`` after each standstill.

    The process has stale state after it, and the messages in its sockets are old.
    ``clock`` returns seconds and counts the time of a suspension.
    """

    def __init__(
        self, *, on_wake: Callable[[], None], clock: Callable[[], float] | None = None
    ) -> None:
        self.on_wake = on_wake
        self.clock = clock or boot_time_s
        self.ran_at = self.clock()
        self.skew_s = self.ran_at - time.monotonic()

    def check(self) -> bool:
        """
        Return whether the process has just stood still; call ``on_wake`` if so.

        Call it before messages are processed: the first ones may be read before any
        timer is due.
        """
        now = self.clock()
        stood_still = now - self.ran_at > MIN_STANDSTILL_S
        self.ran_at = now
        if stood_still:
            self.on_wake()
        return stood_still

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await trio.sleep(CLOCK_CHECK_INTERVAL_S)
            self.check()
            self._log_suspension()

    def _log_suspension(self) -> None:
        skew_s = self.clock() - time.monotonic()
        if skew_s - self.skew_s > MIN_SUSPENSION_S:
            logger.warning(
                "the machine was suspended",
                extra={"code": "suspended", "for_s": round(skew_s - self.skew_s, 3)},
            )
        self.skew_s = skew_s


def boot_time_s() -> float:
    """Return the time since boot in seconds, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
