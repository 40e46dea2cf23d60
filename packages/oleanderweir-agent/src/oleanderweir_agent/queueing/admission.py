"""Admission control in front of one backend server."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.drain import DrainState
from oleanderweir_agent.health import BackendHealth
from oleanderweir_agent.health import HealthState
from oleanderweir_agent.limits import ColdStartRamp
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing.arrival_check import ArrivalCheck
from oleanderweir_agent.queueing.busy_meter import BusyMeter
from oleanderweir_agent.queueing.queue_forecast import QueueForecast
from oleanderweir_agent.queueing.service_time_model import ServiceTimeModel
from oleanderweir_agent.queueing.slot_queue import SlotQueue
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestMetrics


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir_agent.limits import ConcurrencyLimit
    from oleanderweir_agent.queueing.permit import Permit
    from oleanderweir_agent.queueing.queue_policy import QueuePolicy
    from oleanderweir_agent.queueing.queue_snapshot import QueueSnapshot
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest
    from oleanderweir_agent.queueing.work_request import WorkRequest


MAX_WAITING = 512
MIN_RECHECK_S = 0.005
PROBATION_LIMIT = 1
SAMPLED_RESULTS = frozenset({WorkResult.SUCCEEDED, WorkResult.TIMED_OUT})


@attrs.define(kw_only=True, eq=False)
class Admission:
    """
    Admission control in front of one backend server.

    A request starts, is queued, or is rejected as soon as it can no longer meet its
    deadline. ``slots`` is the upper bound of the concurrency limit.
    """

    slots: int
    limiter: ConcurrencyLimit
    policy: QueuePolicy
    service_times: ServiceTimeModel = attrs.field(factory=ServiceTimeModel)
    drain: DrainState = attrs.field(factory=DrainState)
    ramp: ColdStartRamp = attrs.field(factory=ColdStartRamp)
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    busy_meter: BusyMeter = attrs.field(factory=BusyMeter)
    max_waiting: int = MAX_WAITING
    health: BackendHealth = attrs.field()
    queue: SlotQueue = attrs.field(init=False)
    forecast: QueueForecast = attrs.field(init=False)
    arrival_check: ArrivalCheck = attrs.field(init=False)

    @health.default
    def _make_health(self) -> BackendHealth:
        return BackendHealth(ramp=self.ramp, metrics=self.metrics)

    def __attrs_post_init__(self) -> None:
        self.queue = SlotQueue(policy=self.policy)
        self.forecast = QueueForecast(
            service_times=self.service_times, policy=self.policy
        )
        self.arrival_check = ArrivalCheck(forecast=self.forecast, metrics=self.metrics)
        self.drain.listeners.append(self.reject_all_for_drain)

    @property
    def limit(self) -> int:
        """The number of requests that may run concurrently now."""
        limit = min(self.slots, self.limiter.limit, self.ramp.limit(self.slots))
        if self.health.state is HealthState.PROBATION:
            return min(limit, PROBATION_LIMIT)
        return limit

    @property
    def free_slots(self) -> int:
        """The number of requests that could start now."""
        if self.drain.is_draining or self.pause_s > 0.0 or not self.health.is_usable:
            return 0
        return self.queue.free_slots(limit=self.limit)

    @property
    def free_long_slots(self) -> int:
        """The number of long requests that could start now."""
        return min(self.free_slots, self.queue.free_long_slots(limit=self.limit))

    @property
    def pause_s(self) -> float:
        """The remaining seconds of a pause that the backend server requested."""
        return max(0.0, self.limiter.paused_until - trio.current_time())

    @asynccontextmanager
    async def admit(self, request: WorkRequest) -> AsyncIterator[Permit]:
        """
        Hold a slot while the block runs; wait for one if none is free.

        Raises ``RequestRejectedError`` when the request is rejected without having run.
        """
        permit = await self.acquire(request)
        try:
            yield permit
        finally:
            self.release(permit)

    async def acquire(self, request: WorkRequest) -> Permit:
        """
        Wait for a slot and return its permit.

        Pass the permit to ``release`` once the run has completed. Raises
        ``RequestRejectedError`` when the request is rejected.
        """
        await trio.lowlevel.checkpoint()
        waiting = self.enqueue(request)
        self.dispatch()
        try:
            while not waiting.decided.is_set():
                await self.wait_for_decision(waiting)
        except BaseException:
            self.withdraw(waiting)
            raise
        if waiting.permit is not None:
            return waiting.permit
        assert waiting.rejection is not None
        raise waiting.rejection

    def release(self, permit: Permit) -> None:
        """
        Free the slot and record the outcome of the run.

        A second call with the same permit has no effect.
        """
        if permit.is_released:
            return
        permit.is_released = True
        outcome = permit.work_outcome(in_flight=len(self.queue.running))
        self.queue.running.remove(permit)
        self.drain.on_work_completed()
        if outcome.result in SAMPLED_RESULTS:
            self.service_times.observe(permit.request.route, outcome.service_time_s)
        self.limiter.record(outcome)
        self.health.record_outcome(outcome)
        if not self.health.is_usable:
            self.reject_all_for_health()
        self.dispatch()

    def snapshot(self) -> QueueSnapshot:
        """Return the current state of the slots and the queue."""
        return self.queue.snapshot(limit=self.limit, pause_s=self.pause_s)

    def forecast_wait_s(self, request: WorkRequest) -> float:
        """Return the expected wait of a request that arrives now, in seconds."""
        waiting = self.forecast.make_waiting_request(request)
        return self.forecast.conservative_wait_s(self.snapshot(), waiting)

    def enqueue(self, request: WorkRequest) -> WaitingRequest:
        """
        Insert a request into the queue and return its queue entry.

        Raises ``RequestRejectedError`` when the request is rejected on arrival.
        """
        self.check_state(request)
        waiting = self.forecast.make_waiting_request(request)
        if self.pause_s > 0.0 or not self.queue.can_start(waiting, limit=self.limit):
            self.arrival_check.check(
                waiting, self.snapshot(), max_waiting=self.max_waiting
            )
        self.queue.insert(waiting)
        return waiting

    def check_state(self, request: WorkRequest) -> None:
        """Raise ``RequestRejectedError`` for a reason independent of the queue."""
        if self.drain.is_draining:
            raise self.metrics.create_rejection(RejectionReason.DRAINING)
        if request.deadline <= trio.current_time():
            raise self.metrics.create_rejection(RejectionReason.DEADLINE_PAST)
        if not self.health.is_usable and not request.ignores_health:
            raise self.metrics.create_rejection(RejectionReason.BACKEND_DEAD)

    def dispatch(self) -> None:
        """Start queued requests, in the order of the policy, while slots are free."""
        if self.pause_s <= 0.0:
            for _ in range(self.queue.start_all(limit=self.limit)):
                self.drain.on_work_started()
        self.busy_meter.update(min(1.0, len(self.queue.running) / self.slots))

    async def wait_for_decision(self, waiting: WaitingRequest) -> None:
        """Wait until the request starts or is rejected, or the limit may have risen."""
        # Rounding can place the next rise just before the current time; without the
        # minimum interval ``acquire`` would then loop without sleeping.
        rise_at = max(self.next_rise_at(), trio.current_time() + MIN_RECHECK_S)
        wake_at = min(waiting.latest_start, waiting.queue_timeout_at, rise_at)
        with trio.move_on_at(wake_at):
            await waiting.decided.wait()
        if waiting.decided.is_set():
            return
        self.dispatch()
        now = trio.current_time()
        if waiting.decided.is_set():
            return
        if now >= waiting.latest_start:
            self.reject_waiting(waiting, RejectionReason.DEADLINE_UNREACHABLE)
        elif now >= waiting.queue_timeout_at:
            self.reject_waiting(waiting, RejectionReason.QUEUE_TIMEOUT)

    def next_rise_at(self) -> float:
        """Return the trio time at which a pause ends or the cold-start limit rises."""
        if self.pause_s > 0.0:
            return self.limiter.paused_until
        return self.ramp.next_rise_at(self.slots)

    def reject_waiting(self, waiting: WaitingRequest, reason: RejectionReason) -> None:
        """Remove a request from the queue and reject it."""
        self.queue.remove(waiting)
        waiting.rejection = self.metrics.create_rejection(
            reason, retry_after_s=waiting.expected_s
        )
        waiting.decided.set()

    def reject_all_for_drain(self) -> None:
        """Reject all queued requests because the backend server is draining."""
        for waiting in list(self.queue.waiting):
            self.reject_waiting(waiting, RejectionReason.DRAINING)

    def reject_all_for_health(self) -> None:
        """Reject queued requests that do not ignore health, after an ejection."""
        for waiting in list(self.queue.waiting):
            if not waiting.request.ignores_health:
                self.reject_waiting(waiting, RejectionReason.BACKEND_DEAD)

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a cancelled request from the queue, or free the slot that it holds."""
        self.queue.remove(waiting)
        if waiting.permit is not None:
            self.release(waiting.permit)
