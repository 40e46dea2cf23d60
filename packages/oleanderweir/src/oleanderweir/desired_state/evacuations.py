"""The availability zones that operators have evacuated."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.positions import history_of
from oleanderweir.desired_state.positions import revision_of


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from oleanderweir.desired_state.evacuation_order import EvacuationOrder
    from oleanderweir.desired_state.topic import Change


logger = logging.getLogger(__name__)


class Evacuations:
    """
    Holds the orders in force, one for each zone; the last write of each zone wins.

    A source that returned from an older copy lists orders again that were withdrawn
    before. Those whose withdrawal this process has seen stay withdrawn until they are
    written anew. ``changed_revision`` is that of the newest order or withdrawal,
    0 before the first one.
    """

    def __init__(self) -> None:
        self.orders: dict[str, EvacuationOrder] = {}
        # Positions of all writes of the order in force, of each zone.
        self.written_positions: dict[str, set[int]] = {}
        self.zones: frozenset[str] = frozenset()
        self.changed_revision = 0
        # When this process learned of the last withdrawal of each zone, in seconds of
        # trio's clock.
        self.ended_at: dict[str, float] = {}
        # Position of the last withdrawal of each zone.
        self.withdrawn_positions: dict[str, int] = {}
        # Revisions, without their history, of the withdrawn orders of each zone.
        self.withdrawn_revisions: dict[str, set[int]] = {}

    @property
    def documents(self) -> dict[str, Change]:
        """The documents of the orders in force, by name."""
        return {order.change.name: order.change for order in self.orders.values()}

    def apply_listing(
        self,
        orders: Iterable[EvacuationOrder],
        *,
        names: Collection[str],
        revision: int,
    ) -> bool:
        """
        Apply a listing that isn't older; return whether other zones are evacuated.

        An order whose document is not among the ``names`` of all listed documents was
        withdrawn by ``revision``, unless it was written after it.
        """
        zones_before = self.zones
        for zone, order in list(self.orders.items()):
            is_covered = order.change.revision <= revision
            if is_covered and order.change.name not in names:
                self._withdraw(zone, revision)
        for order in orders:
            if not self._is_copy_of_withdrawn(order):
                # Documents of later pages may be newer; the changes after it follow.
                self._apply(order, known_up_to=revision)
        return self.zones != zones_before

    def apply_changes(self, orders: Iterable[EvacuationOrder]) -> bool:
        """Apply orders and withdrawals; return whether other zones are evacuated."""
        zones_before = self.zones
        for order in orders:
            self._apply(order, known_up_to=order.change.revision)
        return self.zones != zones_before

    def _apply(self, order: EvacuationOrder, *, known_up_to: int) -> None:
        """
        Apply an order or a withdrawal, unless a later write of its zone is known.

        ``known_up_to`` is the revision up to which all writes are known; peers are told
        of no later one.
        """
        revision = order.change.revision
        if revision <= self._known_revision(order.zone):
            return
        if order.is_withdrawal:
            self._withdraw(order.zone, revision)
            return
        self.orders[order.zone] = order
        self.written_positions.setdefault(order.zone, set()).add(revision)
        self.ended_at.pop(order.zone, None)
        self._on_changed("evacuation_ordered", order.zone, min(revision, known_up_to))

    def _withdraw(self, zone: str, revision: int) -> None:
        """Remove the order of a zone, and remember its writes as withdrawn."""
        self.orders.pop(zone, None)
        # A copy of the source that lacks an order doesn't tell that it was withdrawn.
        written = {
            revision_of(position)
            for position in self.written_positions.pop(zone, ())
            if history_of(position) == history_of(revision)
        }
        self.withdrawn_revisions.setdefault(zone, set()).update(written)
        self.withdrawn_positions[zone] = revision
        self.ended_at[zone] = trio.current_time()
        self._on_changed("evacuation_withdrawn", zone, revision)

    def _known_revision(self, zone: str) -> int:
        """Return the revision of the last known write of a zone's order."""
        order = self.orders.get(zone)
        written = 0 if order is None else order.change.revision
        return max(written, self.withdrawn_positions.get(zone, 0))

    def _is_copy_of_withdrawn(self, order: EvacuationOrder) -> bool:
        """Whether a listed order is one that was withdrawn in an earlier history."""
        revision = revision_of(order.change.revision)
        return revision in self.withdrawn_revisions.get(order.zone, ())

    def _on_changed(self, code: str, zone: str, revision: int) -> None:
        """Log a change of the evacuated zones."""
        self.zones = frozenset(self.orders)
        self.changed_revision = max(self.changed_revision, revision)
        logger.info(
            "the evacuated availability zones changed",
            extra={
                "code": code,
                "zone": zone,
                "revision": revision,
                "evacuated": sorted(self.zones),
            },
        )
