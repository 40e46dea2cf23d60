"""An unlimited concurrency limit."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.limits import WorkOutcome


@attrs.define(kw_only=True)
class Unlimited:
    """A concurrency limit that admits every request."""

    limit: int = sys.maxsize
    paused_until: float = 0.0

    def record(self, outcome: WorkOutcome) -> None:
        """Ignore the outcome."""
