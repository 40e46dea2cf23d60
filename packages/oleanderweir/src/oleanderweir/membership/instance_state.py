"""Whether an instance stays."""

from __future__ import annotations

import enum


class InstanceState(enum.StrEnum):
    """Whether an instance stays."""

    LIVE = "live"
    LEAVING = "leaving"
