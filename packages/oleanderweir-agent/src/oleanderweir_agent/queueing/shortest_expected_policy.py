"""The queue policy that starts the shortest expected request first."""

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
    Shortest expected request first, with slots reserved for short requests.

    The rank of a request is its arrival time plus ``stretch`` times its expected
    service time. Requests that arrive after that time cannot overtake it, so that no
    request starves.
    """

    stretch: float = STRETCH
    reserved_share: float = RESERVED_SHARE

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the arrival time plus the stretched expected service time."""
        return waiting.arrived_at + self.stretch * waiting.expected_s

    def long_slots(self, limit: int) -> int:
        """Return the number of slots that are not reserved, at least 1."""
        if self.reserved_share == 0.0:
            return limit
        return max(1, limit - max(1, round(limit * self.reserved_share)))

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return how much later a request of mean length may arrive and overtake."""
        return max(0.0, self.stretch * (waiting.expected_s - mean_s))
