"""Second copies of slow requests that may be repeated."""

from __future__ import annotations

from oleanderweir_agent.copies.attempt_place import AttemptPlace
from oleanderweir_agent.copies.copy_metrics import CopyMetrics
from oleanderweir_agent.copies.copy_outcome import CopyOutcome
from oleanderweir_agent.copies.copy_policy import CopyPolicy
from oleanderweir_agent.copies.copy_refusal import CopyRefusal


__all__ = [
    "AttemptPlace",
    "CopyMetrics",
    "CopyOutcome",
    "CopyPolicy",
    "CopyRefusal",
]
