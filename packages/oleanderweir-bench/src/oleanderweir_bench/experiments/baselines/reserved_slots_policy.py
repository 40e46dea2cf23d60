"""First in, first out, with slots reserved for short requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing import WaitingRequest


RESERVED_SHARE = 0.3


@attrs.frozen(kw_only=True)
class ReservedSlotsPolicy:
    """FIFO; long requests may not use ``reserved_share`` of the slots."""

    reserved_share: float = RESERVED_SHARE

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the time of arrival."""
        return waiting.arrived_at

    def long_slots(self, limit: int) -> int:
        """Return the number of slots that are not reserved, at least 1."""
        return max(1, limit - max(1, round(limit * self.reserved_share)))

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return 0: short requests overtake long ones in reserved slots only."""
        return 0.0
