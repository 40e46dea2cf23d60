"""Limits the share of new flows that are hedged."""

from __future__ import annotations


# Bounds how many hedges a quiet time may save up.
MAX_CREDIT = 5.0


class HedgeBudget:
    """
    A token bucket: each new flow adds ``max_share`` of a hedge.

    It starts empty, so that hedges never exceed this share of the flows so far.
    """

    def __init__(self, *, max_share: float) -> None:
        self.max_share = max_share
        self.credit = 0.0

    def on_new_flow(self) -> None:
        """Add the share of one new flow."""
        self.credit = min(self.credit + self.max_share, MAX_CREDIT)

    def take(self) -> bool:
        """Take one hedge; return whether there was one."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
