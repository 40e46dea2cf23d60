"""A limit that stays where it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_outcome import WorkOutcome


@attrs.define(kw_only=True)
class FixedLimit:
    """A limit that stays at the slots of the backend server, and never pauses."""

    limit: int
    paused_until: float = 0.0

    def record(self, outcome: WorkOutcome) -> None:
        """Learn nothing."""
