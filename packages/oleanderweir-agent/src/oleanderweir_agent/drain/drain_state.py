"""Whether the backend server of this agent accepts new work."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.define(kw_only=True, eq=False)
class DrainState:
    """
    The drain of one backend server and its number of requests and feeds in flight.

    After ``begin``, no new work is accepted. Requests and feeds in flight may continue
    until ``deadline``, a trio time. A later ticket may cancel the drain unless it is
    final, that is, unless the process is shutting down. ``listeners`` are called at the
    start of each drain, so that queued work is rejected and callers are asked to move
    to another backend server immediately.
    """

    listeners: list[Callable[[], None]] = attrs.field(factory=list)
    deadline: float = math.inf
    in_flight: int = 0
    is_draining: bool = False
    is_final: bool = False
    changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def has_period_passed(self) -> bool:
        """Whether the drain period has passed."""
        return self.is_draining and trio.current_time() >= self.deadline

    def begin(self, *, drain_period_s: float, is_final: bool = False) -> None:
        """Start a drain; one in progress keeps its deadline."""
        self.is_final |= is_final
        if self.is_draining:
            return
        self.is_draining = True
        self.deadline = trio.current_time() + drain_period_s
        self.notify()
        for listener in self.listeners:
            listener()

    def cancel(self) -> None:
        """Accept new work again, unless the process is shutting down."""
        if not self.is_draining or self.is_final:
            return
        self.is_draining = False
        self.deadline = math.inf
        self.notify()

    def on_work_started(self) -> None:
        """Count a request or feed as in flight."""
        self.in_flight += 1

    def on_work_completed(self) -> None:
        """Count a request or feed as completed."""
        self.in_flight -= 1
        if self.is_draining:
            self.notify()

    async def wait_begun(self) -> None:
        """Wait until a drain has started."""
        while not self.is_draining:
            await self.changed.wait()

    async def wait_finished(self) -> bool:
        """
        Wait until a drain has started and then finished or been cancelled.

        A drain finishes when no work is in flight, at the latest at ``deadline``.
        Return whether no work is in flight.
        """
        await self.wait_begun()
        while self.is_draining and self.in_flight:
            if self.has_period_passed:
                return False
            with trio.move_on_at(self.deadline):
                await self.changed.wait()
        return self.in_flight == 0

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()
