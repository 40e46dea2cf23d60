"""Requests the usage of a worker."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ReportUsage:
    """Requests a worker's usage so far."""
