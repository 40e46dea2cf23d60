"""What came of a request that was offered to a peer agent."""

from __future__ import annotations

from enum import Enum


class RelayOutcome(Enum):
    """The outcome label of the counter of relays."""

    TAKEN = "taken"
    REFUSED = "refused"
    LOST = "lost"
