"""First in, first out, with slots that long work may not hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing import WaitingRequest


RESERVED_SHARE = 0.3


@attrs.frozen(kw_only=True)
class ReservedSlotsPolicy:
    """First in, first out; long work leaves ``reserved_share`` of the slots free."""

    reserved_share: float = RESERVED_SHARE

    def rank(self, waiting: WaitingRequest) -> float:
        """Return the time of arrival."""
        return waiting.arrived_at

    def long_slots(self, limit: int) -> int:
        """Return the slots that are not reserved, one at least."""
        return max(1, limit - max(1, round(limit * self.reserved_share)))

    def overtaking_s(self, waiting: WaitingRequest, mean_s: float) -> float:
        """Return 0: short work passes long work only in reserved slots."""
        return 0.0
