"""The slots of a backend server and the requests that wait for them."""

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
    The requests that run and those that wait, ordered by the policy.

    A request is in at most one of both lists; each permit leaves ``running`` once.
    """

    policy: QueuePolicy
    running: list[Permit] = attrs.field(factory=list)
    waiting: list[WaitingRequest] = attrs.field(factory=list)

    def insert(self, waiting: WaitingRequest) -> None:
        """Let a request wait in its place."""
        bisect.insort(self.waiting, waiting, key=lambda other: other.rank)

    def remove(self, waiting: WaitingRequest) -> None:
        """Let a request wait no longer; nothing happens if it does not."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)

    def can_start(self, waiting: WaitingRequest, *, limit: int) -> bool:
        """Whether a slot is free for the request, apart from others that wait."""
        if len(self.running) >= limit:
            return False
        return not waiting.is_long or self.free_long_slots(limit=limit) > 0

    def free_slots(self, *, limit: int) -> int:
        """Return how many short requests could start."""
        return max(0, limit - len(self.running))

    def free_long_slots(self, *, limit: int) -> int:
        """Return how many slots long requests do not hold but may."""
        long_running = sum(permit.is_long for permit in self.running)
        return max(0, self.policy.long_slots(limit) - long_running)

    def start_all(self, *, limit: int) -> int:
        """Start the waiting requests that find a slot; return how many did."""
        started = 0
        for waiting in list(self.waiting):
            if self.can_start(waiting, limit=limit):
                self.start(waiting)
                started += 1
        return started

    def start(self, waiting: WaitingRequest) -> None:
        """Give a slot to a waiting request."""
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
        """Return the slots and the queue of this moment."""
        return QueueSnapshot(
            running=self.running, waiting=self.waiting, limit=limit, pause_s=pause_s
        )
