"""Monitors the process from inside."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir.admin import Readiness
    from oleanderweir.console.process_metrics import ProcessMetrics
    from oleanderweir.logs import RepeatFilter


logger = logging.getLogger(__name__)

INTERVAL_S = 0.25
LATE_WAKE_UP_S = 0.5


class ProcessMonitor:
    """Reports readiness changes, late wake-ups and suppressed log messages."""

    def __init__(
        self,
        *,
        readiness: Readiness,
        metrics: ProcessMetrics,
        repeat_filter: RepeatFilter,
    ) -> None:
        self.readiness = readiness
        self.metrics = metrics
        self.repeat_filter = repeat_filter
        self.was_ready = False
        self.reported_suppressed = 0

    async def run(self) -> None:
        """Monitor until cancelled."""
        while True:
            self._report_readiness()
            self._report_suppressed()
            await self._sleep()

    async def _sleep(self) -> None:
        """Sleep until the next round; report the delay if the wake-up is late."""
        due_at = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due_at)
        delay_s = trio.current_time() - due_at
        if delay_s < LATE_WAKE_UP_S:
            return
        self.metrics.late_wake_ups.inc()
        self.metrics.late_wake_up_seconds.inc(delay_s)
        logger.warning(
            "woke up %.1f s late; check whether the machine was paused or overloaded",
            delay_s,
            extra={"code": "late_wake_up"},
        )

    def _report_readiness(self) -> None:
        """Export whether the process is ready, and log changes."""
        reasons = self.readiness.reasons()
        is_ready = not reasons
        self.metrics.is_ready.set(int(is_ready))
        if is_ready == self.was_ready:
            return
        self.was_ready = is_ready
        if is_ready:
            logger.info("ready", extra={"code": "ready"})
            return
        names = ", ".join(reason.value for reason in reasons)
        logger.warning("not ready: %s", names, extra={"code": "not_ready"})

    def _report_suppressed(self) -> None:
        """Log and export how many messages were suppressed."""
        self.repeat_filter.report_suppressed()
        total = self.repeat_filter.suppressed_total
        self.metrics.suppressed_log_messages.inc(total - self.reported_suppressed)
        self.reported_suppressed = total
