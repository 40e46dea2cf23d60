"""How a request ended at a backend server."""

from __future__ import annotations

from enum import Enum


class RunOutcome(Enum):
    """
    How a request ended at a backend server.

    ``SHED`` and ``EXPIRED`` requests never started. ``CANCELLED`` and ``TIMED_OUT``
    ones were stopped part way.
    """

    RUNNING = "running"
    RAN = "ran"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"
    SHED = "shed"
    EXPIRED = "expired"
