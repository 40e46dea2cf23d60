"""Openings whose callers have acknowledged the answer of another backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


# Backend servers stop to repeat an unacknowledged answer within this time.
WITHDRAWN_TTL_S = 15.0


class WithdrawnOpenings:
    """
    Records the hedged openings that another backend server has won.

    The answer of this one is of no use to the caller any more. An entry ends with the
    next opening packet of the flow, or after ``WITHDRAWN_TTL_S``.
    """

    def __init__(self) -> None:
        # When each opening was last withdrawn, in seconds of trio's clock.
        self.withdrawn_at: dict[FlowKey, float] = {}

    def add(self, key: FlowKey, *, now: float) -> None:
        """Record that another backend server has opened a flow."""
        self.withdrawn_at[key] = now

    def discard(self, key: FlowKey) -> None:
        """Forget a flow that is opened anew."""
        self.withdrawn_at.pop(key, None)

    def is_withdrawn(self, key: FlowKey) -> bool:
        """Whether another backend server has opened a flow."""
        return key in self.withdrawn_at

    def expire(self, *, now: float) -> None:
        """Remove old entries."""
        limit = now - WITHDRAWN_TTL_S
        self.withdrawn_at = {
            key: moment for key, moment in self.withdrawn_at.items() if moment > limit
        }
