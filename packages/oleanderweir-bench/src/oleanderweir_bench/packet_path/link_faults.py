"""Faults of the links between hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import random


@attrs.define(kw_only=True)
class LinkFaults:
    """
    Shares of datagrams between hosts that are lost, duplicated or late.

    A late datagram takes up to ``max_delay_s`` longer, so that others overtake it.
    """

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0
    max_delay_s: float = 0.0

    def draw_copies(self, random_source: random.Random) -> int:
        """Return how many copies of a datagram are delivered."""
        if random_source.random() < self.loss_rate:
            return 0
        return 1 + (random_source.random() < self.duplicate_rate)

    def draw_delay_s(self, random_source: random.Random) -> float:
        """Return the additional delay of a datagram, in seconds."""
        if random_source.random() >= self.late_rate:
            return 0.0
        return random_source.uniform(0.0, self.max_delay_s)
