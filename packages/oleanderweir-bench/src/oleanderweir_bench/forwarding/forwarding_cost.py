"""What one kind of forwarding costs."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ForwardingCost:
    """Processor time of one kind of forwarding, in microseconds a packet."""

    name: str
    cpu_us_per_packet: float
    floor_us_per_packet: float

    @property
    def ratio(self) -> float:
        """How many times the cost of the floor this is."""
        return self.cpu_us_per_packet / self.floor_us_per_packet
