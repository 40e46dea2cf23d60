"""The interface of queue policies."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


class QueuePolicy(Protocol):
    """Orders the queue and limits the slots that long requests may hold."""

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the constant sort key of a request; the lowest starts first."""

    def long_slots(self, limit: int) -> int:
        """Return how many slots long requests may hold at once, at least 1."""

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """
        Return for how long, in seconds, later arrivals may overtake this request.

        ``mean_s`` is the mean service time of the later arrivals.
        """
