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


EJECTION_FAILURES = 5
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EVIDENCE_LIFETIME_S = 5.0
HINT_LIFETIME_S = 10.0
FAILURES = frozenset({WorkResult.FAILED, WorkResult.TIMED_OUT})


@attrs.define(kw_only=True, eq=False)
class BackendHealth:
    """
    The health of one backend server: observed outcomes first, its endpoint second.

    A number of failures in a row ejects it, for a time that doubles with each
    ejection. After that it is on probation: work is tried again, one failure ejects
    it anew and one success ends it. What the health endpoint says counts only while
    no outcome of the last ``evidence_lifetime_s`` speaks, expires by itself, and puts
    the backend server on probation at the worst. A shed is an answer, not a failure.
    """

    ramp: ColdStartRamp
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    ejection_failures: int = EJECTION_FAILURES
    evidence_lifetime_s: float = EVIDENCE_LIFETIME_S
    hint_lifetime_s: float = HINT_LIFETIME_S
    failures_in_row: int = 0
    ejections_in_row: int = 0
    ejected_until: float = -math.inf
    observed_at: float = -math.inf
    hint_at: float = -math.inf
    hint_is_healthy: bool = True

    @property
    def state(self) -> HealthState:
        """What is believed now."""
        now = trio.current_time()
        if now < self.ejected_until:
            return HealthState.EJECTED
        if self.ejections_in_row:
            return HealthState.PROBATION
        if now - self.observed_at <= self.evidence_lifetime_s:
            return HealthState.HEALTHY
        if now - self.hint_at <= self.hint_lifetime_s:
            # A hint alone never ejects: without work no outcome could outweigh it.
            healthy = self.hint_is_healthy
            return HealthState.HEALTHY if healthy else HealthState.PROBATION
        return HealthState.UNKNOWN

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent there."""
        return self.state is not HealthState.EJECTED

    def observe(self, outcome: WorkOutcome) -> None:
        """Learn from one run that has ended."""
        if outcome.result is WorkResult.ABANDONED:
            return
        if outcome.result in FAILURES:
            self.count_failure()
        else:
            self.count_answer()

    def observe_hint(self, *, is_healthy: bool) -> None:
        """Take what the health endpoint says; it may lag or mislead."""
        self.hint_at = trio.current_time()
        self.hint_is_healthy = is_healthy

    def count_answer(self) -> None:
        """Note that the backend server answered."""
        self.observed_at = trio.current_time()
        self.failures_in_row = 0
        if not self.ejections_in_row:
            return
        self.ejections_in_row = 0
        self.ejected_until = -math.inf
        self.ramp.restart()
        self.metrics.health_changes.labels(reason=HealthState.HEALTHY.value).inc()

    def count_failure(self) -> None:
        """Note a failure; eject after enough of them, or at once on probation."""
        self.failures_in_row += 1
        is_on_probation = self.state is HealthState.PROBATION
        if self.failures_in_row >= self.ejection_failures or is_on_probation:
            self.eject()

    def eject(self) -> None:
        """Send no work there for a while."""
        now = trio.current_time()
        if now < self.ejected_until:
            return
        length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections_in_row)
        self.ejections_in_row += 1
        self.failures_in_row = 0
        self.ejected_until = now + length_s
        self.metrics.health_changes.labels(reason=HealthState.EJECTED.value).inc()
