"""First in, first out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


@attrs.frozen(kw_only=True)
class FifoPolicy:
    """First in, first out, over all slots: the baseline."""

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the time of arrival."""
        return waiting.arrived_at

    def long_slots(self, limit: int) -> int:
        """Return all slots."""
        return limit

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return 0: nothing passes."""
        return 0.0
