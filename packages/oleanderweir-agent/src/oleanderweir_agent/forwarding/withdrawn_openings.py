"""Openings whose callers have acknowledged the answer of another backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.flows import are_far


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


# Backend servers stop to repeat an unacknowledged answer within this time.
WITHDRAWN_TTL_S = 15.0


@attrs.frozen(kw_only=True)
class WithdrawnOpening:
    """
    An opening that another backend server has won.

    ``acknowledged`` is what the caller has acknowledged, ``withdrawn_at`` is in seconds
    of trio's clock.
    """

    acknowledged: int
    withdrawn_at: float


class WithdrawnOpenings:
    """
    Records the hedged openings that another backend server has won.

    The answer of this one is of no use to the caller any more, unless it is the one
    that the caller has acknowledged: an agent that was restarted may not have seen it.
    An entry ends with the next opening packet of the flow, or after
    ``WITHDRAWN_TTL_S``.
    """

    def __init__(self) -> None:
        self.openings: dict[FlowKey, WithdrawnOpening] = {}

    def add(self, key: FlowKey, *, acknowledged: int, now: float) -> None:
        """Record that another backend server has opened a flow."""
        self.openings[key] = WithdrawnOpening(
            acknowledged=acknowledged, withdrawn_at=now
        )

    def discard(self, key: FlowKey) -> None:
        """Forget a flow that is opened anew."""
        self.openings.pop(key, None)

    def is_withdrawn(self, key: FlowKey, *, sequence: int) -> bool:
        """Whether a flow was won with another answer than that of this sequence."""
        opening = self.openings.get(key)
        return opening is not None and are_far(opening.acknowledged, sequence)

    def expire(self, *, now: float) -> None:
        """Remove old entries."""
        limit = now - WITHDRAWN_TTL_S
        self.openings = {
            key: opening
            for key, opening in self.openings.items()
            if opening.withdrawn_at > limit
        }
