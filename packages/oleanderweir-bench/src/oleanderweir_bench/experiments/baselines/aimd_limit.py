"""A concurrency limit with additive increase and multiplicative decrease."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import WorkResult


if TYPE_CHECKING:
    from oleanderweir_agent.limits import WorkOutcome


DECREASE_FACTOR = 0.5
WINDOW_RUNS = 10
MAX_PAUSE_S = 5.0
FLOOR = 1
OVERLOAD_RESULTS = frozenset({WorkResult.SHED, WorkResult.FAILED, WorkResult.TIMED_OUT})


@attrs.define(kw_only=True)
class AimdLimit:
    """
    A limit up to the slots with additive increase and multiplicative decrease.

    A shed, failed or late run multiplies the limit by ``decrease_factor``. A run that
    started before the last decrease does not, so a burst counts once. After
    ``window_runs`` successes with the limit fully used, the limit rises by one. A
    ``Retry-After`` of the backend server pauses new runs for at most ``max_pause_s``.
    The scheme follows HAL-1372, "Adaptive per-provider concurrency limiter".
    """

    ceiling: int
    floor: int = FLOOR
    window_runs: int = WINDOW_RUNS
    decrease_factor: float = DECREASE_FACTOR
    max_pause_s: float = MAX_PAUSE_S
    paused_until: float = 0.0
    successes: int = 0
    decreased_at: float = -math.inf
    limit: int = attrs.field()

    @limit.default
    def _start_at_ceiling(self) -> int:
        return self.ceiling

    def record(self, outcome: WorkOutcome) -> None:
        """Update the limit from the outcome of one completed run."""
        if outcome.result in OVERLOAD_RESULTS:
            self.decrease(outcome)
        elif outcome.result is WorkResult.SUCCEEDED:
            self.count_success(outcome)

    def decrease(self, outcome: WorkOutcome) -> None:
        """Decrease the limit, unless the run started before the last decrease."""
        now = trio.current_time()
        if outcome.retry_after_s is not None:
            pause_s = min(outcome.retry_after_s, self.max_pause_s)
            self.paused_until = max(self.paused_until, now + pause_s)
        self.successes = 0
        if now - outcome.service_time_s < self.decreased_at:
            return
        self.decreased_at = now
        self.limit = max(self.floor, math.floor(self.limit * self.decrease_factor))

    def count_success(self, outcome: WorkOutcome) -> None:
        """Count a success at the limit; raise the limit after a full window."""
        if outcome.in_flight < self.limit:
            return
        self.successes += 1
        if self.successes < self.window_runs:
            return
        self.successes = 0
        self.limit = min(self.ceiling, self.limit + 1)
