"""What became of second copies."""

from __future__ import annotations

import enum


class CopyOutcome(enum.Enum):
    """
    What became of a copy, or of the run that lost against it; values are metric labels.

    Every copy is counted as sent, and then as won, rejected or failed unless the first
    run won. The loser of two runs is counted as cancelled or wasted. A rejected copy
    costs no part of the budget.
    """

    SENT = "sent"
    WON = "won"
    REJECTED = "rejected"  # by the peer; it didn't run
    FAILED = "failed"
    CANCELLED = "cancelled"  # the loser had not begun to answer
    WASTED = "wasted"  # the loser had begun to answer, so its work was done
