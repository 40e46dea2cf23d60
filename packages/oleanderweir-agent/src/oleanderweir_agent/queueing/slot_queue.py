"""The slots of a backend server and the queue for them."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.queueing.permit import Permit
from oleanderweir_agent.queueing.queue_snapshot import QueueSnapshot


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.queue_policy import QueuePolicy
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


@attrs.define(kw_only=True, eq=False)
class SlotQueue:
    """
    The running requests and the queued ones, ordered by the policy.

    A request is in at most one of the two lists, and each permit is removed from
    ``running`` once.
    """

    policy: QueuePolicy
    running: list[Permit] = attrs.field(factory=list)
    waiting: list[WaitingRequest] = attrs.field(factory=list)

    def insert(self, waiting: WaitingRequest) -> None:
        """Insert a request into the queue by its rank."""
        bisect.insort(self.waiting, waiting, key=lambda other: other.rank)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request from the queue if it is queued."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)

    def can_start(self, waiting: WaitingRequest, *, limit: int) -> bool:
        """Whether a slot is free for the request, ignoring other queued requests."""
        if len(self.running) >= limit:
            return False
        return not waiting.is_long or self.free_long_slots(limit=limit) > 0

    def free_slots(self, *, limit: int) -> int:
        """Return the number of slots that short requests could use now."""
        return max(0, limit - len(self.running))

    def free_long_slots(self, *, limit: int) -> int:
        """Return the number of slots that long requests may use but do not hold."""
        long_running = sum(permit.is_long for permit in self.running)
        return max(0, self.policy.long_slots(limit) - long_running)

    def start_all(self, *, limit: int) -> int:
        """Start queued requests while slots are free; return the number started."""
        started = 0
        for waiting in list(self.waiting):
            if self.can_start(waiting, limit=limit):
                self.start(waiting)
                started += 1
        return started

    def start(self, waiting: WaitingRequest) -> None:
        """Assign a slot to a queued request."""
        self.waiting.remove(waiting)
        waiting.permit = Permit(
            request=waiting.request,
            expected_s=waiting.expected_s,
            is_long=waiting.is_long,
            queued_s=trio.current_time() - waiting.arrived_at,
        )
        self.running.append(waiting.permit)
        waiting.decided.set()

    def snapshot(self, *, limit: int, pause_s: float) -> QueueSnapshot:
        """Return the current state of the slots and the queue."""
        return QueueSnapshot(
            running=self.running, waiting=self.waiting, limit=limit, pause_s=pause_s
        )
