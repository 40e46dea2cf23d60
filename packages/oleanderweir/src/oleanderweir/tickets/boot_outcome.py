"""The outcome of reading a boot source."""

from __future__ import annotations

import enum


class BootOutcome(enum.StrEnum):
    """The outcome of reading a boot source."""

    PENDING = "pending"
    MERGED = "merged"
    UNAVAILABLE = "unavailable"
