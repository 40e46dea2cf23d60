"""A concurrency limit that follows the gradient of the service time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import WorkResult


if TYPE_CHECKING:
    from oleanderweir_agent.limits import WorkOutcome


TOLERANCE = 1.5
SMOOTHING = 0.2
MIN_GRADIENT = 0.5
BASELINE_DRIFT = 0.002
MAX_PAUSE_S = 5.0
FLOOR = 1


@attrs.define(kw_only=True)
class GradientLimit:
    """
    A limit up to the slots that falls when service times exceed their baseline.

    The stretch is the smoothed recent service time divided by the baseline, a slowly
    drifting minimum. The limit moves towards ``limit * tolerance / stretch + 1``, where
    the factor is at most 1. All routes share one baseline, so requests of a long route
    have the same effect as an overloaded backend server.
    """

    ceiling: int
    floor: int = FLOOR
    tolerance: float = TOLERANCE
    smoothing: float = SMOOTHING
    max_pause_s: float = MAX_PAUSE_S
    paused_until: float = 0.0
    baseline_s: float = 0.0
    recent_s: float = 0.0
    estimate: float = attrs.field()

    @estimate.default
    def _start_at_ceiling(self) -> float:
        return float(self.ceiling)

    @property
    def limit(self) -> int:
        """The number of requests that may run concurrently."""
        return max(self.floor, round(self.estimate))

    def record(self, outcome: WorkOutcome) -> None:
        """Update the limit from the outcome of one completed run."""
        if outcome.result is WorkResult.ABANDONED:
            return
        if outcome.retry_after_s is not None:
            pause_s = min(outcome.retry_after_s, self.max_pause_s)
            self.paused_until = max(self.paused_until, trio.current_time() + pause_s)
        if outcome.result is WorkResult.SUCCEEDED:
            self.record_service_time(outcome.service_time_s)
            gradient = self.gradient()
        else:
            gradient = MIN_GRADIENT
        target = self.estimate * gradient + 1.0
        smoothed = self.estimate + self.smoothing * (target - self.estimate)
        self.estimate = min(float(self.ceiling), max(float(self.floor), smoothed))

    def record_service_time(self, service_time_s: float) -> None:
        """Update the smoothed recent service time and its slowly drifting minimum."""
        if self.baseline_s == 0.0:
            self.baseline_s = service_time_s
            self.recent_s = service_time_s
        self.recent_s += self.smoothing * (service_time_s - self.recent_s)
        self.baseline_s += BASELINE_DRIFT * (self.recent_s - self.baseline_s)
        self.baseline_s = min(self.baseline_s, self.recent_s)

    def gradient(self) -> float:
        """Return the factor for the limit from the service times, at most 1."""
        if self.recent_s <= 0.0:
            return 1.0
        ratio = self.tolerance * self.baseline_s / self.recent_s
        return min(1.0, max(MIN_GRADIENT, ratio))
