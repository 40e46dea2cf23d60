"""The share of slots in use, averaged over the last seconds."""

from __future__ import annotations

import math

import attrs
import trio


TIME_CONSTANT_S = 2.0


@attrs.define(kw_only=True)
class BusyMeter:
    """An exponentially weighted mean over time of the share of slots in use."""

    time_constant_s: float = TIME_CONSTANT_S
    mean_share: float = 0.0
    current_share: float = 0.0
    updated_at: float = attrs.field(factory=trio.current_time)

    def update(self, share: float) -> None:
        """Note that from now on this share is in use."""
        self.mean_share = self.read()
        self.current_share = share
        self.updated_at = trio.current_time()

    def read(self) -> float:
        """Return the mean up to now."""
        age_s = trio.current_time() - self.updated_at
        decay = math.exp(-age_s / self.time_constant_s)
        return self.current_share + (self.mean_share - self.current_share) * decay
