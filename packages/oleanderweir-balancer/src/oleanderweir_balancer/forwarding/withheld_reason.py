"""Reasons to withhold a hedge."""

from __future__ import annotations

import enum


class WithheldReason(enum.StrEnum):
    """Why the opening packet of a slow flow wasn't sent to a second backend server."""

    LATE = "late"  # this process stood still; the flow may have opened meanwhile
    NO_ROUTE = "no_route"  # the route is gone, or its requests mustn't be repeated now
    NO_REPORT = "no_report"  # no backend server reports that it accepts flows
    LOADED = "loaded"  # the service has no free slots on average
    NO_FREE_SLOT = "no_free_slot"  # no other backend server reports a free slot
    BUDGET = "budget"  # the operators' limit is reached
