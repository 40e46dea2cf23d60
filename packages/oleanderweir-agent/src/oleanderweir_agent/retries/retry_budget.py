"""A bound on retries as a share of first attempts."""

from __future__ import annotations

import attrs


DEFAULT_CAPACITY = 10.0


@attrs.define(kw_only=True)
class RetryBudget:
    """
    A token bucket that first attempts fill and retries empty.

    Each first attempt adds ``ratio`` tokens, each retry takes one. The bucket starts
    full and holds ``reserve`` at most, so that a quiet service may retry at all.
    """

    ratio: float
    capacity: float = DEFAULT_CAPACITY
    tokens: float = attrs.field()

    @tokens.default
    def _start_full(self) -> float:
        return self.capacity

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
