"""Opening packets that wait for the published state by which they are admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.peering.messages import Delivery


# A process gets a new desired state within milliseconds of the others. Its caller sends
# a copy after 0.2 s, which a balancer may place elsewhere.
MAX_HOLD_S = 0.25
# Enough for the packets that wait in the socket of an agent that starts.
MAX_HELD_OPENINGS = 1024


@attrs.frozen(kw_only=True, eq=False)
class HeldOpening:
    """
    An opening packet from the balancer at ``host``.

    ``held_at`` is when it or its first copy arrived, in seconds of trio's clock.
    """

    host: str
    packet: Packet
    message: Delivery
    held_at: float


class HeldOpenings:
    """Keeps one opening packet of each flow; the length is their number."""

    def __init__(self) -> None:
        self.openings: dict[FlowKey, HeldOpening] = {}

    def __len__(self) -> int:
        return len(self.openings)

    def hold(self, host: str, packet: Packet, message: Delivery, *, now: float) -> bool:
        """Keep an opening packet or its newest copy; return whether there is room."""
        known = self.openings.get(packet.key)
        if known is None and len(self.openings) >= MAX_HELD_OPENINGS:
            return False
        self.openings[packet.key] = HeldOpening(
            host=host,
            packet=packet,
            message=message,
            held_at=now if known is None else known.held_at,
        )
        return True

    def keep(self, held: HeldOpening) -> None:
        """Keep an opening packet again that was removed to be decided."""
        self.openings[held.packet.key] = held

    def remove(self, key: FlowKey) -> None:
        """Remove the opening packet of a flow, if there is one."""
        self.openings.pop(key, None)

    def pop_all(self) -> list[HeldOpening]:
        """Remove and return all opening packets, in the order of their arrival."""
        openings = list(self.openings.values())
        self.openings.clear()
        return openings

    def pop_overdue(self, *, now: float) -> list[HeldOpening]:
        """Remove and return those that have waited for ``MAX_HOLD_S``."""
        limit = now - MAX_HOLD_S
        overdue = [held for held in self.openings.values() if held.held_at <= limit]
        for held in overdue:
            del self.openings[held.packet.key]
        return overdue
