"""The outcome of a request at a backend server."""

from __future__ import annotations

from enum import Enum


class RunOutcome(Enum):
    """
    The outcome of a request at a backend server.

    ``SHED`` and ``EXPIRED`` requests did not start. ``CANCELLED`` and ``TIMED_OUT``
    requests started and were stopped before they completed.
    """

    RUNNING = "running"
    RAN = "ran"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"
    SHED = "shed"
    EXPIRED = "expired"
