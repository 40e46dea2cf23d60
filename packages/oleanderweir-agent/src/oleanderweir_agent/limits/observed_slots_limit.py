"""A concurrency limit that follows the observed slots of a backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits.work_result import WorkResult


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_outcome import WorkOutcome


PROBE_INTERVAL_S = 2.0
MAX_PAUSE_S = 5.0
FLOOR = 1


@attrs.define(kw_only=True)
class ObservedSlotsLimit:
    """
    A limit that starts at ``ceiling`` and falls when the backend server sheds.

    If a request is shed while ``n`` others are running, the limit is reduced to ``n``
    slots, but not below ``floor``. It rises by one, up to ``ceiling``, when a run
    succeeds while all slots are in use, if no shed or rise occurred within the last
    ``probe_interval_s``. If a request is shed while no other is running, its
    ``Retry-After`` pauses new starts, for at most ``max_pause_s``.
    """

    ceiling: int
    floor: int = FLOOR
    probe_interval_s: float = PROBE_INTERVAL_S
    max_pause_s: float = MAX_PAUSE_S
    paused_until: float = 0.0
    changed_at: float = -math.inf
    limit: int = attrs.field()

    @limit.default
    def _start_at_ceiling(self) -> int:
        return self.ceiling

    def record(self, outcome: WorkOutcome) -> None:
        """Reduce the limit after a shed request, or probe a higher one."""
        if outcome.result is WorkResult.SHED:
            self.on_shed(outcome)
        elif outcome.result is WorkResult.SUCCEEDED:
            self.probe(outcome)

    def on_shed(self, outcome: WorkOutcome) -> None:
        """Reduce the limit to the other requests in flight; pause if there are none."""
        now = trio.current_time()
        others = outcome.in_flight - 1
        if others == 0 and outcome.retry_after_s is not None:
            pause_s = min(outcome.retry_after_s, self.max_pause_s)
            self.paused_until = max(self.paused_until, now + pause_s)
        self.limit = max(self.floor, min(self.limit, others))
        self.changed_at = now

    def probe(self, outcome: WorkOutcome) -> None:
        """Raise the limit by one if it is reached and the probe interval has passed."""
        now = trio.current_time()
        if outcome.in_flight < self.limit or self.limit >= self.ceiling:
            return
        if now - self.changed_at >= self.probe_interval_s:
            self.limit += 1
            self.changed_at = now
