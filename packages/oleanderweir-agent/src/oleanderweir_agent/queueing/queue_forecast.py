"""Forecast of the wait of queued requests."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.queueing.waiting_request import WaitingRequest


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.permit import Permit
    from oleanderweir_agent.queueing.queue_policy import QueuePolicy
    from oleanderweir_agent.queueing.queue_snapshot import QueueSnapshot
    from oleanderweir_agent.queueing.service_time_model import ServiceTimeModel
    from oleanderweir_agent.queueing.work_request import WorkRequest


WAIT_SAFETY_FACTOR = 1.4


@attrs.frozen(kw_only=True)
class QueueForecast:
    """Predicts waits, in seconds, from the observed service times."""

    service_times: ServiceTimeModel
    policy: QueuePolicy

    def make_waiting_request(self, request: WorkRequest) -> WaitingRequest:
        """Return the queue entry, with its estimates, of a request arriving now."""
        now = trio.current_time()
        expected_s = self.service_times.expected_s(request.route)
        conservative_s = self.service_times.conservative_s(request.route)
        waiting = WaitingRequest(
            request=request,
            expected_s=expected_s,
            is_long=self.service_times.is_long(expected_s),
            arrived_at=now if request.arrived_at is None else request.arrived_at,
            latest_start=request.deadline - conservative_s,
            queue_timeout_at=now + request.queue_timeout_s,
        )
        waiting.rank = self.policy.rank(waiting)
        return waiting

    def residual_s(self, permit: Permit) -> float:
        """Return the expected remaining service time of a running request."""
        elapsed_s = trio.current_time() - permit.started_at
        histogram = self.service_times.histogram(permit.request.route)
        return histogram.residual_s(elapsed_s)

    def wait_s(self, snapshot: QueueSnapshot) -> float:
        """Return the expected wait of a request behind all queued requests."""
        limit = snapshot.limit
        excess = len(snapshot.running) - limit
        if excess < 0 and snapshot.pause_s <= 0.0:
            # While a slot is free, only long requests are queued, and short requests
            # overtake them.
            return 0.0
        residuals_s = sorted(self.residual_s(permit) for permit in snapshot.running)
        free_in_s = residuals_s[max(0, excess) :]
        free_in_s += [0.0] * (limit - len(free_in_s))
        free_in_s = [max(snapshot.pause_s, time_s) for time_s in free_in_s]
        heapq.heapify(free_in_s)
        for waiting in snapshot.waiting:
            heapq.heapreplace(free_in_s, free_in_s[0] + waiting.expected_s)
        return free_in_s[0]

    def conservative_wait_s(
        self, snapshot: QueueSnapshot, waiting: WaitingRequest
    ) -> float:
        """
        Return a conservative estimate of the wait of one request.

        The estimate is the expected wait, multiplied by a safety factor, plus the time
        for which later requests may overtake this one.
        """
        ahead = snapshot.ahead_of(waiting)
        wait_s = self.wait_s(ahead)
        if waiting.is_long:
            long_slots = self.policy.long_slots(snapshot.limit)
            wait_s = max(wait_s, self.wait_s(ahead.long_only(limit=long_slots)))
        mean_s = self.service_times.overall.mean_s
        overtaking_s = self.policy.overtaking_s(waiting, mean_s)
        return WAIT_SAFETY_FACTOR * wait_s + overtaking_s
