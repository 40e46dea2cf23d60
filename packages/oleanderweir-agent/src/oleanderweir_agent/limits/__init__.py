"""Limits on the number of requests that a backend server runs concurrently."""

from __future__ import annotations

from oleanderweir_agent.limits.cold_start_ramp import ColdStartRamp
from oleanderweir_agent.limits.concurrency_limit import ConcurrencyLimit
from oleanderweir_agent.limits.fixed_limit import FixedLimit
from oleanderweir_agent.limits.observed_slots_limit import ObservedSlotsLimit
from oleanderweir_agent.limits.work_outcome import WorkOutcome
from oleanderweir_agent.limits.work_result import WorkResult


__all__ = [
    "ColdStartRamp",
    "ConcurrencyLimit",
    "FixedLimit",
    "ObservedSlotsLimit",
    "WorkOutcome",
    "WorkResult",
]
