"""What is believed of a backend server."""

from __future__ import annotations

import enum


class HealthState(enum.Enum):
    """What is believed of a backend server; the label of the counter."""

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"
