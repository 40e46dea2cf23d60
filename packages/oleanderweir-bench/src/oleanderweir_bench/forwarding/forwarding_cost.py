"""The cost of one kind of forwarding."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ForwardingCost:
    """The processor time of one kind of forwarding, in microseconds per packet."""

    name: str
    cpu_us_per_packet: float
    floor_us_per_packet: float

    @property
    def ratio(self) -> float:
        """The cost as a multiple of the floor."""
        return self.cpu_us_per_packet / self.floor_us_per_packet
