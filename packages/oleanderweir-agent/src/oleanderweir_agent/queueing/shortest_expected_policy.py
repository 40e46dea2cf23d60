"""Shortest expected work first, without starvation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


STRETCH = 4.0
RESERVED_SHARE = 0.3


@attrs.frozen(kw_only=True)
class ShortestExpectedPolicy:
    """
    Shortest expected work first, with slots that long work may not hold.

    A request ranks by its arrival plus ``stretch`` times its expected service time.
    Requests that come later than that cannot pass it, so none starves.
    """

    stretch: float = STRETCH
    reserved_share: float = RESERVED_SHARE

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the time by which the request is due."""
        return waiting.arrived_at + self.stretch * waiting.expected_s

    def long_slots(self, limit: int) -> int:
        """Return the slots that are not reserved, one at least."""
        if self.reserved_share == 0.0:
            return limit
        return max(1, limit - max(1, round(limit * self.reserved_share)))

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return how much later a mean request may come and still pass."""
        return max(0.0, self.stretch * (waiting.expected_s - mean_s))
