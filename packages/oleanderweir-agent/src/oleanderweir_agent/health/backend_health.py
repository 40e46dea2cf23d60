"""The health of one backend server, from the outcomes of its requests."""

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
    The health of one backend server, from outcomes first and from probes second.

    ``ejection_threshold`` consecutive failures eject the backend server, for a time
    that doubles with each consecutive ejection up to ``MAX_EJECTION_S``. Afterwards it
    is on probation: it receives work again, one failure ejects it again and one
    response ends the probation. The result of a probe counts only if the backend server
    is neither ejected nor on probation and has not responded for
    ``response_lifetime_s``. It expires after ``probe_lifetime_s``, and a negative one
    causes at most probation. A shed request counts as a response, not as a failure.
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
        """The current health state."""
        now = trio.current_time()
        if now < self.ejected_until:
            return HealthState.EJECTED
        if self.consecutive_ejections:
            return HealthState.PROBATION
        if now - self.last_response_at <= self.response_lifetime_s:
            return HealthState.HEALTHY
        if now - self.last_probe_at <= self.probe_lifetime_s:
            # A probe never ejects: without work, no outcome could override it.
            healthy = self.last_probe_is_healthy
            return HealthState.HEALTHY if healthy else HealthState.PROBATION
        return HealthState.UNKNOWN

    @property
    def is_usable(self) -> bool:
        """Whether the backend server may receive new work."""
        return self.state is not HealthState.EJECTED

    def record_outcome(self, outcome: WorkOutcome) -> None:
        """Record the outcome of one request; an abandoned one is ignored."""
        if outcome.result is WorkResult.ABANDONED:
            return
        if outcome.result in FAILURES:
            self.record_failure()
        else:
            self.record_response()

    def record_probe(self, *, is_healthy: bool) -> None:
        """Record a probe result, possibly outdated or wrong; outcomes override it."""
        self.last_probe_at = trio.current_time()
        self.last_probe_is_healthy = is_healthy

    def record_response(self) -> None:
        """Record a response; the first after an ejection restarts the ramp."""
        self.last_response_at = trio.current_time()
        self.consecutive_failures = 0
        if not self.consecutive_ejections:
            return
        self.consecutive_ejections = 0
        self.ejected_until = -math.inf
        self.ramp.restart()
        self.metrics.health_changes.labels(reason=HealthState.HEALTHY.value).inc()

    def record_failure(self) -> None:
        """Record a failure; eject at the threshold, or immediately on probation."""
        self.consecutive_failures += 1
        is_on_probation = self.state is HealthState.PROBATION
        if self.consecutive_failures >= self.ejection_threshold or is_on_probation:
            self.eject()

    def eject(self) -> None:
        """Eject the backend server, unless it is ejected already."""
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
