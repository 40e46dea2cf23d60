"""Whether the backend server of this agent takes new work."""

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
    The drain of one backend server, and the work that still runs on it.

    From ``begin`` on there is no new work; running requests and feeds go on until
    they end or ``ends_at`` has come. A later ticket may call the drain off, but not
    a final one, with which the process itself shuts down.
    ``listeners`` are called at the beginning of each drain, so that work that waits
    is refused at once and callers are told to move.
    """

    listeners: list[Callable[[], None]] = attrs.field(factory=list)
    deadline: float = math.inf
    in_flight: int = 0
    is_draining: bool = False
    is_final: bool = False
    changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def has_period_passed(self) -> bool:
        """Whether the drain period is over."""
        return self.is_draining and trio.current_time() >= self.deadline

    def begin(self, *, drain_period_s: float, is_final: bool = False) -> None:
        """Begin the drain; a running one keeps its end."""
        self.is_final |= is_final
        if self.is_draining:
            return
        self.is_draining = True
        self.deadline = trio.current_time() + drain_period_s
        self.notify()
        for listener in self.listeners:
            listener()

    def cancel(self) -> None:
        """Take new work again, unless the process is shutting down."""
        if not self.is_draining or self.is_final:
            return
        self.is_draining = False
        self.deadline = math.inf
        self.notify()

    def on_work_started(self) -> None:
        """Count one request or feed that runs from now on."""
        self.in_flight += 1

    def on_work_completed(self) -> None:
        """Count one request or feed that runs no more."""
        self.in_flight -= 1
        if self.is_draining:
            self.notify()

    async def wait_begun(self) -> None:
        """Return once the drain has begun."""
        while not self.is_draining:
            await self.changed.wait()

    async def wait_finished(self) -> bool:
        """
        Return when a drain is over; True if no work was left behind.

        Returns early as soon as nothing runs, and at the end of the drain period
        otherwise. Waits for the drain to begin first.
        """
        await self.wait_begun()
        while self.is_draining and self.in_flight:
            if self.has_period_passed:
                return False
            with trio.move_on_at(self.deadline):
                await self.changed.wait()
        return self.in_flight == 0

    def notify(self) -> None:
        """Wake every task that waits for a change."""
        self.changed.set()
        self.changed = trio.Event()
