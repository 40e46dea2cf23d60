"""The interface of concurrency limits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_outcome import WorkOutcome


class ConcurrencyLimit(Protocol):
    """Limits the number of requests that run concurrently at a backend server."""

    @property
    def limit(self) -> int:
        """The number of requests that may run concurrently, at least 1."""

    @property
    def paused_until(self) -> float:
        """The trio time before which no request may start."""

    def record(self, outcome: WorkOutcome) -> None:
        """Update the limit from the outcome of one completed run."""
