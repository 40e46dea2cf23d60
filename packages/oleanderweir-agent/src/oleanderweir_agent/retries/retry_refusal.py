"""Reasons against a retry."""

from __future__ import annotations

import enum


class RetryRefusal(enum.Enum):
    """Why a request was not retried; values are metric labels."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"
