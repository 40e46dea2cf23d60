"""How far the rate limit of a cold start may be exceeded."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.desired_state import ColdStartLimit


@attrs.frozen(kw_only=True)
class ColdStartTolerance:
    """
    Bounds the new flows that a cold backend server gets within any second.

    The maximum is the configured rate times ``overage``, plus ``slack`` new flows.
    """

    overage: float
    slack: float

    def max_openings(self, limit: ColdStartLimit) -> int:
        """Return the maximum number of new flows within a second."""
        return math.floor(limit.rate_per_s * self.overage + self.slack)

    def target_openings(self, limit: ColdStartLimit) -> int:
        """
        Return the number that the backend server bears, within the maximum.

        It is at least 1: a rate below 1 a second would admit no flow otherwise.
        """
        return min(max(1, math.floor(limit.rate_per_s)), self.max_openings(limit))
