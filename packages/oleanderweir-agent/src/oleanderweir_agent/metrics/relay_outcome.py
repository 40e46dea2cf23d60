"""Outcomes of requests that were offered to a peer agent."""

from __future__ import annotations

from enum import Enum


class RelayOutcome(Enum):
    """The outcome of a relay; values are metric labels."""

    ACCEPTED = "taken"
    REJECTED = "refused"
    LOST = "lost"
