"""The delay before a failed read is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import random


BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0


@attrs.frozen(kw_only=True)
class RetryBackoff:
    """Exponential backoff; jitter reduces each delay by up to half."""

    random: random.Random
    min_s: float = BACKOFF_MIN_S
    max_s: float = BACKOFF_MAX_S

    def delay_s(self, attempt: int) -> float:
        """Return the delay after a failed attempt; attempts are counted from 0."""
        ceiling_s = min(self.max_s, self.min_s * 2.0**attempt)
        return ceiling_s * self.random.uniform(0.5, 1.0)
