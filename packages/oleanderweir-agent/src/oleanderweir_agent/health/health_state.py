"""The health states of a backend server."""

from __future__ import annotations

import enum


class HealthState(enum.Enum):
    """The health of a backend server; values are metric labels."""

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"
