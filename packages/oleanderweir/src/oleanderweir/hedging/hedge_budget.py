"""Limits the share of flows or requests that are hedged."""

from __future__ import annotations


# Bounds how many hedges a quiet time may save up.
MAX_CREDIT = 5.0


class HedgeBudget:
    """
    A token bucket: all work that may be hedged adds ``max_share`` of a hedge.

    It starts empty, so that hedges never exceed this share of that work so far.
    """

    def __init__(self, *, max_share: float) -> None:
        self.max_share = max_share
        self.credit = 0.0

    def on_candidate(self) -> None:
        """Add the share of one flow or request that may be hedged."""
        self.credit = min(self.credit + self.max_share, MAX_CREDIT)

    def change_share(self, max_share: float) -> None:
        """Change the share; a lower one starts without credit."""
        if max_share < self.max_share:
            self.credit = 0.0
        self.max_share = max_share

    def take(self) -> bool:
        """Take one hedge; return whether there was one."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def give_back(self, *, taken_at_share: float) -> None:
        """Return a hedge that cost nothing, unless the share is lower than then."""
        if self.max_share >= taken_at_share:
            self.credit = min(self.credit + 1.0, MAX_CREDIT)
