"""The interface of the order in which waiting requests start."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


class QueuePolicy(Protocol):
    """In which order waiting requests start, and which slots long work may hold."""

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the place in the queue, lowest first; it never changes."""

    def long_slots(self, limit: int) -> int:
        """Return how many of the slots long requests may hold at once; at least 1."""

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return how long later requests may pass this one, in seconds."""
