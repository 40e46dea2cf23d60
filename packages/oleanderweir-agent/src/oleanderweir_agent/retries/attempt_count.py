"""How often a request was sent."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class AttemptCount:
    """The first attempt, retries and copies of one request together."""

    max_attempts: int
    count: int = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the request must not be sent again."""
        return self.count >= self.max_attempts
