"""What became of a load report that came in."""

from __future__ import annotations

import enum


class ReportResult(enum.Enum):
    """What became of a load report that came in; the label of the counter."""

    MERGED = "taken"
    OLD = "old"
    UNKNOWN_MEMBER = "unknown_member"
