"""A backend server in virtual time."""

from __future__ import annotations

import math
import random

import attrs
import trio


BACKLOG = 64
RETRY_AFTER_S = 0.2


class SimulatedShedError(Exception):
    """The backend server shed a request and did not run it."""


class SimulatedFailureError(Exception):
    """The backend server failed after a request was sent."""


@attrs.define(kw_only=True, eq=False)
class SimulatedBackendServer:
    """
    A backend server with slots, a speed and a backlog.

    Work that finds no free slot waits in the backlog in order of arrival; work that
    exceeds the backlog is shed. Cancelling the caller at the deadline cancels the work,
    but the slot time it has used still counts as busy. A share ``stall_share`` of the
    runs takes ``stall_factor`` times as long, whatever the work.
    """

    name: str
    slots: int
    speed: float
    backlog: int = BACKLOG
    cold_until: float = -math.inf
    cold_speed_share: float = 0.25
    stall_share: float = 0.0
    stall_factor: float = 10.0
    random: random.Random = attrs.field(factory=lambda: random.Random(1))
    is_broken: bool = False
    queued: int = 0
    busy_s: float = 0.0
    measured_from: float = 0.0
    semaphore: trio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.semaphore = trio.Semaphore(self.slots)

    async def run(self, work_s: float) -> None:
        """
        Wait for a slot and do the work.

        Raise ``SimulatedShedError`` if the backlog is full, and
        ``SimulatedFailureError`` at once while ``is_broken``.
        """
        if self.is_broken:
            raise SimulatedFailureError
        if self.queued >= self.backlog and self.semaphore.value == 0:
            raise SimulatedShedError
        self.queued += 1
        try:
            await self.semaphore.acquire()
        finally:
            self.queued -= 1
        started_at = trio.current_time()
        try:
            await trio.sleep(work_s * self.draw_factor() / self.current_speed)
        finally:
            self.semaphore.release()
            self.count_busy(started_at)

    def draw_factor(self) -> float:
        """Return by how much the run that starts now takes longer."""
        is_stalled = self.stall_share > 0 and self.random.random() < self.stall_share
        return self.stall_factor if is_stalled else 1.0

    @property
    def current_speed(self) -> float:
        """The speed of work that starts now; lower during a cold start."""
        if trio.current_time() < self.cold_until:
            return self.speed * self.cold_speed_share
        return self.speed

    def count_busy(self, started_at: float) -> None:
        """Add the busy time of one slot, from ``measured_from`` at the earliest."""
        begin = max(started_at, self.measured_from)
        self.busy_s += max(0.0, trio.current_time() - begin)
