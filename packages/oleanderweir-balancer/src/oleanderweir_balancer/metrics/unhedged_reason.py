"""Why a new flow was not sent to a second agent."""

from __future__ import annotations

from enum import Enum


class UnhedgedReason(Enum):
    """The reason label of the counter of flows that were not hedged."""

    NO_OTHER_AGENT = "no_other_agent"
    TOO_MANY_PENDING = "too_many_pending"
