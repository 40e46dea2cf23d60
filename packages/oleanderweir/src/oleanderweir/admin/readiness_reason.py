"""Reasons why a process is not ready."""

from __future__ import annotations

from enum import Enum


class ReadinessReason(Enum):
    """A reason that ``/ready`` and ``/status`` report."""

    STARTING = "starting"
    NOT_CONFIGURED = "not_configured"
    SHUTTING_DOWN = "shutting_down"
