"""Who runs at the backend server, who waits, and who is refused."""

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
from oleanderweir_agent.queueing.busy_meter import BusyMeter
from oleanderweir_agent.queueing.queue_forecast import QueueForecast
from oleanderweir_agent.queueing.service_time_model import ServiceTimeModel
from oleanderweir_agent.queueing.slot_queue import SlotQueue
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestMetrics
from oleanderweir_agent.verdicts import RequestRejectedError


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
    The gate before one backend server.

    A request starts, waits, or is refused as soon as its deadline is out of reach.
    ``slots`` is the ceiling of every limit.
    """

    slots: int
    limiter: ConcurrencyLimit
    policy: QueuePolicy
    service_times: ServiceTimeModel = attrs.field(factory=ServiceTimeModel)
    drain: DrainState = attrs.field(factory=DrainState)
    ramp: ColdStartRamp = attrs.field(factory=ColdStartRamp)
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    busy: BusyMeter = attrs.field(factory=BusyMeter)
    max_waiting: int = MAX_WAITING
    health: BackendHealth = attrs.field()
    queue: SlotQueue = attrs.field(init=False)
    forecast: QueueForecast = attrs.field(init=False)

    @health.default
    def _make_health(self) -> BackendHealth:
        return BackendHealth(ramp=self.ramp, metrics=self.metrics)

    def __attrs_post_init__(self) -> None:
        self.queue = SlotQueue(policy=self.policy)
        self.forecast = QueueForecast(
            service_times=self.service_times, policy=self.policy
        )
        self.drain.listeners.append(self.reject_all_for_drain)

    @property
    def limit(self) -> int:
        """How many requests may run now."""
        limit = min(self.slots, self.limiter.limit, self.ramp.limit(self.slots))
        if self.health.state is HealthState.PROBATION:
            return min(limit, PROBATION_LIMIT)
        return limit

    @property
    def free_slots(self) -> int:
        """How many requests could start now."""
        if self.drain.is_draining or self.pause_s > 0.0 or not self.health.is_usable:
            return 0
        return self.queue.free_slots(limit=self.limit)

    @property
    def free_long_slots(self) -> int:
        """How many long requests could start now."""
        return min(self.free_slots, self.queue.free_long_slots(limit=self.limit))

    @property
    def pause_s(self) -> float:
        """The seconds for which the backend server asked for a pause."""
        return max(0.0, self.limiter.paused_until - trio.current_time())

    @asynccontextmanager
    async def admit(self, request: WorkRequest) -> AsyncIterator[Permit]:
        """
        Hold a slot while the block runs; wait for it if need be.

        Raises ``RequestRejectedError`` when the request is refused; it has not run.
        """
        permit = await self.acquire(request)
        try:
            yield permit
        finally:
            self.release(permit)

    async def acquire(self, request: WorkRequest) -> Permit:
        """Return a permit for the request; ``release`` it when the run is over."""
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
        """Give the slot back and learn from the run; a second call does nothing."""
        if permit.is_released:
            return
        permit.is_released = True
        outcome = permit.work_outcome(in_flight=len(self.queue.running))
        self.queue.running.remove(permit)
        self.drain.on_work_completed()
        if outcome.result in SAMPLED_RESULTS:
            self.service_times.observe(permit.request.route, outcome.service_time_s)
        self.limiter.record(outcome)
        self.health.observe(outcome)
        if not self.health.is_usable:
            self.reject_all_for_health()
        self.dispatch()

    def snapshot(self) -> QueueSnapshot:
        """Return the slots and the queue of this moment."""
        return self.queue.snapshot(limit=self.limit, pause_s=self.pause_s)

    def forecast_wait_s(self, request: WorkRequest) -> float:
        """Return the expected wait of a request that comes now, in seconds."""
        waiting = self.forecast.make_waiting_request(request)
        return self.forecast.conservative_wait_s(self.snapshot(), waiting)

    def enqueue(self, request: WorkRequest) -> WaitingRequest:
        """Put a request into the queue, unless it is refused right away."""
        self.check_state(request)
        waiting = self.forecast.make_waiting_request(request)
        if self.pause_s > 0.0 or not self.queue.can_start(waiting, limit=self.limit):
            self.check_queue(waiting)
        self.queue.insert(waiting)
        return waiting

    def check_state(self, request: WorkRequest) -> None:
        """Raise the refusal that does not depend on the queue, if there is one."""
        if self.drain.is_draining:
            raise self.reject(RejectionReason.DRAINING)
        if request.deadline <= trio.current_time():
            raise self.reject(RejectionReason.DEADLINE_PAST)
        if not self.health.is_usable and not request.ignores_health:
            raise self.reject(RejectionReason.BACKEND_DEAD)

    def check_queue(self, waiting: WaitingRequest) -> None:
        """Raise the refusal if waiting would be in vain."""
        wait_s = self.forecast.conservative_wait_s(self.snapshot(), waiting)
        if len(self.queue.waiting) >= self.max_waiting:
            raise self.reject(RejectionReason.QUEUE_FULL, retry_after_s=wait_s)
        if wait_s > waiting.request.max_wait_s:
            raise self.reject(RejectionReason.WAIT_TOO_LONG, retry_after_s=wait_s)
        late_s = trio.current_time() + wait_s - waiting.latest_start
        # A request that was let in before is not refused by a later forecast.
        if late_s <= 0.0 or waiting.request.arrived_at is not None:
            return
        if self.pause_s > 0.0:
            raise self.reject(
                RejectionReason.BACKEND_PAUSED, retry_after_s=self.pause_s
            )
        raise self.reject(RejectionReason.DEADLINE_UNREACHABLE, retry_after_s=late_s)

    def reject(
        self, reason: RejectionReason, *, retry_after_s: float | None = None
    ) -> RequestRejectedError:
        """Count a refusal and return its error."""
        self.metrics.count_rejection(reason)
        return RequestRejectedError(reason=reason, retry_after_s=retry_after_s)

    def dispatch(self) -> None:
        """Start as many waiting requests as there are slots for, in their order."""
        if self.pause_s <= 0.0:
            for _ in range(self.queue.start_all(limit=self.limit)):
                self.drain.on_work_started()
        self.busy.update(min(1.0, len(self.queue.running) / self.slots))

    async def wait_for_decision(self, waiting: WaitingRequest) -> None:
        """Wait until the request starts, is refused, or the limit may have risen."""
        # Rounding may put a rise just before now, which would spin without a pause.
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
        """Return the trio time at which slots open without a run that ends."""
        if self.pause_s > 0.0:
            return self.limiter.paused_until
        return self.ramp.next_rise_at(self.slots)

    def reject_waiting(self, waiting: WaitingRequest, reason: RejectionReason) -> None:
        """Refuse a request that waits."""
        self.queue.remove(waiting)
        waiting.rejection = self.reject(reason, retry_after_s=waiting.expected_s)
        waiting.decided.set()

    def reject_all_for_drain(self) -> None:
        """Refuse every request that waits, because the backend server drains."""
        for waiting in list(self.queue.waiting):
            self.reject_waiting(waiting, RejectionReason.DRAINING)

    def reject_all_for_health(self) -> None:
        """Refuse what waits and heeds health, because the backend server is dead."""
        for waiting in list(self.queue.waiting):
            if not waiting.request.ignores_health:
                self.reject_waiting(waiting, RejectionReason.BACKEND_DEAD)

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Forget a request whose caller has gone, wherever it stands."""
        self.queue.remove(waiting)
        if waiting.permit is not None:
            self.release(waiting.permit)
