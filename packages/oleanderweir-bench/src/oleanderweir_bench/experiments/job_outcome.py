"""How a request of an experiment ended."""

from __future__ import annotations

import enum


class JobOutcome(enum.Enum):
    """How a request of an experiment ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LATE = "late"
    FAILED = "failed"
