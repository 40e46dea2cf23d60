"""The outcome of a simulated request."""

from __future__ import annotations

import enum


class JobOutcome(enum.Enum):
    """The outcome of a simulated request; a rejected one did not run."""

    ANSWERED = "answered"
    REJECTED = "refused"
    LATE = "late"
    FAILED = "failed"
