"""Reasons against a second copy."""

from __future__ import annotations

import enum


class CopyRefusal(enum.Enum):
    """Why no copy of a slow request was sent; values are metric labels."""

    ANSWERING = "answering"  # a part of the answer has gone to the caller
    ATTEMPTS = "attempts"  # retries and copies together have reached the maximum
    BUDGET = "budget"  # the operators' limit is reached
    DEADLINE = "deadline"  # the copy could not be answered in time
    LATE = "late"  # this process stood still; the answer may be waiting in a socket
    LOADED = "loaded"  # the service has hardly any free slots
    NO_PEER = "no_peer"  # no other agent reports a free slot
    PANIC = "panic"  # most of the service appears unhealthy
    TOO_MANY = "too_many"  # this agent waits for as many copies as it has memory for
    TURNED_OFF = "turned_off"  # by a ticket since the request arrived
    UNKNOWN_TIMES = "unknown_times"  # too few recent answers on this route

    @property
    def is_temporary(self) -> bool:
        """Whether a later check of the same request may find no reason."""
        return self in {
            CopyRefusal.BUDGET,
            CopyRefusal.LOADED,
            CopyRefusal.NO_PEER,
            CopyRefusal.PANIC,
            CopyRefusal.TOO_MANY,
        }
