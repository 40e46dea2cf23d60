"""The state of an instance in the instance list."""

from __future__ import annotations

import enum


class InstanceState(enum.StrEnum):
    """Whether an instance stays in service or is leaving."""

    LIVE = "live"
    LEAVING = "leaving"
