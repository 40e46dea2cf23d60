"""The first-in, first-out queue policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


@attrs.frozen(kw_only=True)
class FifoPolicy:
    """First in, first out, with no slots reserved; the baseline of experiments."""

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the arrival time of the request."""
        return waiting.arrived_at

    def long_slots(self, limit: int) -> int:
        """Return all slots."""
        return limit

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return 0, as no later request overtakes."""
        return 0.0
