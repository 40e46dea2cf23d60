"""The withdrawn evacuation orders that a restored copy of the source may list again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.desired_state.positions import history_of
from oleanderweir.desired_state.positions import make_position
from oleanderweir.desired_state.positions import revision_of
from oleanderweir.desired_state.withdrawn_orders import NO_WRITE
from oleanderweir.desired_state.withdrawn_orders import WithdrawnOrder
from oleanderweir.desired_state.withdrawn_orders import WithdrawnOrders


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.desired_state.evacuation_order import EvacuationOrder


# Beyond these, the orders that were withdrawn first and the earliest histories are
# forgotten: copies of the source are rarely older.
MAX_WITHDRAWN_ORDERS = 256
MAX_HISTORIES = 8


class Withdrawals:
    """
    Holds the withdrawn orders; merges with those of peers commute.

    A restored copy lists an order with the revision that it had in the earlier history.
    """

    def __init__(self) -> None:
        # Position of the withdrawal, by zone and revision of the write.
        self.positions: dict[tuple[str, int], int] = {}
        # Revision of the first known listing, by history.
        self.first_listings: dict[int, int] = {}

    def record_listing(self, position: int) -> None:
        """Record that the source was listed at a position."""
        history, revision = history_of(position), revision_of(position)
        known = self.first_listings.get(history, revision)
        self.first_listings[history] = min(known, revision)
        if len(self.first_listings) > MAX_HISTORIES:
            del self.first_listings[min(self.first_listings)]

    def add(self, zone: str, revisions: Iterable[int], *, withdrawn_at: int) -> None:
        """Record that writes of a zone's order were withdrawn at a position."""
        for revision in (NO_WRITE, *revisions):
            key = (zone, revision)
            self.positions[key] = max(withdrawn_at, self.positions.get(key, 0))
        while len(self.positions) > MAX_WITHDRAWN_ORDERS:
            del self.positions[min(self.positions, key=self._rank)]

    def last_position(self, zone: str) -> int:
        """Return the newest position at which a zone had no order, 0 without any."""
        return self.positions.get((zone, NO_WRITE), 0)

    def includes(self, order: EvacuationOrder) -> bool:
        """Whether an order was withdrawn, or is a restored copy of one that was."""
        position = order.change.revision
        if position <= self.last_position(order.zone):
            return True
        revision = revision_of(position)
        if (order.zone, revision) not in self.positions:
            return False
        first_listing = self.first_listings.get(history_of(position))
        return first_listing is None or revision <= first_listing

    def correct(self, order: EvacuationOrder) -> None:
        """Forget the withdrawal of an order that is listed later in its history."""
        position = order.change.revision
        for revision in (NO_WRITE, revision_of(position)):
            withdrawn_at = self.positions.get((order.zone, revision))
            if withdrawn_at is None:
                continue
            is_same_history = history_of(withdrawn_at) == history_of(position)
            if is_same_history and withdrawn_at >= position:
                del self.positions[order.zone, revision]

    def merge(self, withdrawn: WithdrawnOrders) -> None:
        """Add what a peer knows."""
        for position in withdrawn.first_listings:
            self.record_listing(position)
        for order in withdrawn.orders:
            self.add(order.zone, (order.revision,), withdrawn_at=order.withdrawn_at)

    def export(self) -> WithdrawnOrders:
        """Return what peers merge."""
        return WithdrawnOrders(
            first_listings=tuple(
                make_position(history=history, revision=revision)
                for history, revision in self.first_listings.items()
            ),
            orders=tuple(
                WithdrawnOrder(zone=zone, revision=revision, withdrawn_at=position)
                for (zone, revision), position in self.positions.items()
            ),
        )

    def _rank(self, key: tuple[str, int]) -> tuple[int, str, int]:
        """Return what orders the withdrawn orders, the first withdrawn first."""
        return self.positions[key], *key
