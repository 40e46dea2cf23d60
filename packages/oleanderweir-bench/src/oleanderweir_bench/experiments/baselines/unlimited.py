"""The absence of a limit."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.limits import WorkOutcome


@attrs.define(kw_only=True)
class Unlimited:
    """No limit at all: the baseline of the experiments."""

    limit: int = sys.maxsize
    paused_until: float = 0.0

    def record(self, outcome: WorkOutcome) -> None:
        """Learn nothing."""
