"""The health of one backend server, from what its runs show."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.health.health_state import HealthState
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.verdicts import RequestMetrics


if TYPE_CHECKING:
    from oleanderweir_agent.limits import ColdStartRamp
    from oleanderweir_agent.limits import WorkOutcome


EJECTION_THRESHOLD = 5
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RESPONSE_LIFETIME_S = 5.0
PROBE_LIFETIME_S = 10.0
FAILURES = frozenset({WorkResult.FAILED, WorkResult.TIMED_OUT})


@attrs.define(kw_only=True, eq=False)
class BackendHealth:
    """
    The health of one backend server: observed outcomes first, its endpoint second.

    A number of failures in a row ejects it, for a time that doubles with each
    ejection. After that it is on probation: work is tried again, one failure ejects
    it anew and one success ends it. What the health endpoint says counts only while
    no outcome of the last ``response_lifetime_s`` speaks, expires by itself, and puts
    the backend server on probation at the worst. A shed is an answer, not a failure.
    """

    ramp: ColdStartRamp
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    ejection_threshold: int = EJECTION_THRESHOLD
    response_lifetime_s: float = RESPONSE_LIFETIME_S
    probe_lifetime_s: float = PROBE_LIFETIME_S
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = -math.inf
    last_response_at: float = -math.inf
    last_probe_at: float = -math.inf
    last_probe_is_healthy: bool = True

    @property
    def state(self) -> HealthState:
        """What is believed now."""
        now = trio.current_time()
        if now < self.ejected_until:
            return HealthState.EJECTED
        if self.consecutive_ejections:
            return HealthState.PROBATION
        if now - self.last_response_at <= self.response_lifetime_s:
            return HealthState.HEALTHY
        if now - self.last_probe_at <= self.probe_lifetime_s:
            # A hint alone never ejects: without work no outcome could outweigh it.
            healthy = self.last_probe_is_healthy
            return HealthState.HEALTHY if healthy else HealthState.PROBATION
        return HealthState.UNKNOWN

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent there."""
        return self.state is not HealthState.EJECTED

    def record_outcome(self, outcome: WorkOutcome) -> None:
        """Learn from one run that has ended."""
        if outcome.result is WorkResult.ABANDONED:
            return
        if outcome.result in FAILURES:
            self.record_failure()
        else:
            self.record_response()

    def record_probe(self, *, is_healthy: bool) -> None:
        """Take what the health endpoint says; it may lag or mislead."""
        self.last_probe_at = trio.current_time()
        self.last_probe_is_healthy = is_healthy

    def record_response(self) -> None:
        """Note that the backend server answered."""
        self.last_response_at = trio.current_time()
        self.consecutive_failures = 0
        if not self.consecutive_ejections:
            return
        self.consecutive_ejections = 0
        self.ejected_until = -math.inf
        self.ramp.restart()
        self.metrics.health_changes.labels(reason=HealthState.HEALTHY.value).inc()

    def record_failure(self) -> None:
        """Note a failure; eject after enough of them, or at once on probation."""
        self.consecutive_failures += 1
        is_on_probation = self.state is HealthState.PROBATION
        if self.consecutive_failures >= self.ejection_threshold or is_on_probation:
            self.eject()

    def eject(self) -> None:
        """Send no work there for a while."""
        now = trio.current_time()
        if now < self.ejected_until:
            return
        duration_s = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.consecutive_ejections
        )
        self.consecutive_ejections += 1
        self.consecutive_failures = 0
        self.ejected_until = now + duration_s
        self.metrics.health_changes.labels(reason=HealthState.EJECTED.value).inc()
