"""The outcome of a simulated request."""

from __future__ import annotations

import enum


class JobOutcome(enum.Enum):
    """The outcome of a simulated request; ``REFUSED`` means rejected and not run."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LATE = "late"
    FAILED = "failed"
