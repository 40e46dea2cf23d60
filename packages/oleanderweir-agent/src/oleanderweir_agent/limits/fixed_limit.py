"""A constant concurrency limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_outcome import WorkOutcome


@attrs.define(kw_only=True)
class FixedLimit:
    """A constant limit that ignores outcomes and never pauses."""

    limit: int
    paused_until: float = 0.0

    def record(self, outcome: WorkOutcome) -> None:
        """Ignore the outcome."""
