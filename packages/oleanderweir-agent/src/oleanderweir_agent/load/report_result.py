"""The result of merging a received load report."""

from __future__ import annotations

import enum


class ReportResult(enum.Enum):
    """The result of merging a received load report; the value is a metric label."""

    MERGED = "taken"
    OLD = "old"
    UNKNOWN_MEMBER = "unknown_member"
