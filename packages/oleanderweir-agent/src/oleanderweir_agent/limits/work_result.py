"""The result of one run at the backend server, for limits and health."""

from __future__ import annotations

import enum


class WorkResult(enum.Enum):
    """
    The result of one run at the backend server.

    ``ABANDONED`` carries no information about the backend server: the caller
    cancelled, or no request was sent.
    """

    SUCCEEDED = "succeeded"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"
