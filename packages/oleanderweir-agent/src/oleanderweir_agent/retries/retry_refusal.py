"""Why a request was not sent again."""

from __future__ import annotations

import enum


class RetryRefusal(enum.Enum):
    """Why a request was not sent again; the label of the counter."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"
