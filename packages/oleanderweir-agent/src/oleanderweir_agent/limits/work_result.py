"""How one run at the backend server ended, as limits and health see it."""

from __future__ import annotations

import enum


class WorkResult(enum.Enum):
    """
    How one run at the backend server ended.

    ``ABANDONED`` tells nothing about the backend server: the caller cancelled, or
    nothing was sent.
    """

    SUCCEEDED = "succeeded"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"
