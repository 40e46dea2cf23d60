"""The interface of limits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_outcome import WorkOutcome


class ConcurrencyLimit(Protocol):
    """How many requests may run at once at one backend server."""

    @property
    def limit(self) -> int:
        """The number of requests that may run at once; at least one."""

    @property
    def paused_until(self) -> float:
        """The trio time before which no request may start."""

    def record(self, outcome: WorkOutcome) -> None:
        """Learn from one run that has ended."""
