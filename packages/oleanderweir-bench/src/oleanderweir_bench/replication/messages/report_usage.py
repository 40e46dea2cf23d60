"""Asks a worker for its usage."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ReportUsage:
    """Asks a worker for its usage so far."""
