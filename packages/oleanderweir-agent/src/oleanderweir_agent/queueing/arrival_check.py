"""Rejects requests that the queue cannot start in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.verdicts import RejectionReason


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.queue_forecast import QueueForecast
    from oleanderweir_agent.queueing.queue_snapshot import QueueSnapshot
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest
    from oleanderweir_agent.verdicts import RequestMetrics


@attrs.frozen(kw_only=True)
class ArrivalCheck:
    """Rejects a request on arrival if the queue is full or the forecast too late."""

    forecast: QueueForecast
    metrics: RequestMetrics

    def check(
        self, waiting: WaitingRequest, snapshot: QueueSnapshot, *, max_waiting: int
    ) -> None:
        """Raise ``RequestRejectedError`` if the request must not be queued."""
        wait_s = self.forecast.conservative_wait_s(snapshot, waiting)
        if len(snapshot.waiting) >= max_waiting:
            raise self.metrics.create_rejection(
                RejectionReason.QUEUE_FULL, retry_after_s=wait_s
            )
        if wait_s > waiting.request.max_wait_s:
            raise self.metrics.create_rejection(
                RejectionReason.WAIT_TOO_LONG, retry_after_s=wait_s
            )
        # A request that this queue accepted before is not rejected by a later forecast.
        if waiting.request.arrived_at is None:
            self._check_deadline(waiting, wait_s, pause_s=snapshot.pause_s)

    def _check_deadline(
        self, waiting: WaitingRequest, wait_s: float, *, pause_s: float
    ) -> None:
        """Raise ``RequestRejectedError`` if the request would start too late."""
        late_s = trio.current_time() + wait_s - waiting.latest_start
        if late_s <= 0.0:
            return
        if pause_s > 0.0:
            raise self.metrics.create_rejection(
                RejectionReason.BACKEND_PAUSED, retry_after_s=pause_s
            )
        raise self.metrics.create_rejection(
            RejectionReason.DEADLINE_UNREACHABLE, retry_after_s=late_s
        )
