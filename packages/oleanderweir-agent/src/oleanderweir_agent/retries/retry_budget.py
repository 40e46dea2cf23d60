"""A limit on retries as a share of first attempts."""

from __future__ import annotations

import attrs


DEFAULT_CAPACITY = 10.0


@attrs.define(kw_only=True)
class RetryBudget:
    """
    A token bucket that first attempts fill and retries drain.

    Each first attempt adds ``ratio`` tokens, each retry spends one. The bucket holds
    at most ``capacity`` tokens and starts full, so that a service with few requests
    can retry too.
    """

    ratio: float
    capacity: float = DEFAULT_CAPACITY
    tokens: float = attrs.field()

    @tokens.default
    def _start_full(self) -> float:
        return self.capacity

    def record_first_attempt(self) -> None:
        """Add ``ratio`` tokens for a first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Spend one token for a retry; return False if none is available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
