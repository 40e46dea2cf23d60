"""The share of slots in use, averaged over the last few seconds."""

from __future__ import annotations

import math

import attrs
import trio


TIME_CONSTANT_S = 2.0


@attrs.define(kw_only=True)
class BusyMeter:
    """
    An exponentially weighted moving average of the share of slots in use.

    ``mean_share`` is the average as of ``updated_at``, a trio time, and
    ``current_share`` the share in use since then.
    """

    time_constant_s: float = TIME_CONSTANT_S
    mean_share: float = 0.0
    current_share: float = 0.0
    updated_at: float = attrs.field(factory=trio.current_time)

    def update(self, share: float) -> None:
        """Record the share of slots in use from now on."""
        self.mean_share = self.read()
        self.current_share = share
        self.updated_at = trio.current_time()

    def read(self) -> float:
        """Return the moving average as of now."""
        age_s = trio.current_time() - self.updated_at
        decay = math.exp(-age_s / self.time_constant_s)
        return self.current_share + (self.mean_share - self.current_share) * decay
