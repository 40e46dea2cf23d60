"""The availability zones that operators have evacuated."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.positions import history_of
from oleanderweir.desired_state.positions import revision_of
from oleanderweir.desired_state.withdrawals import Withdrawals


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from oleanderweir.desired_state.evacuation_order import EvacuationOrder
    from oleanderweir.desired_state.topic import Change
    from oleanderweir.desired_state.withdrawn_orders import WithdrawnOrders


logger = logging.getLogger(__name__)

# Beyond these, the zones that were withdrawn first are forgotten, and so are the
# earliest writes of an order in force.
MAX_WITHDRAWN_ZONES = 256
MAX_WRITES = 64


class Evacuations:
    """
    Holds the orders in force, one for each zone; the last write of each zone wins.

    A source that returned from an older copy lists orders again that were withdrawn
    before. Those whose withdrawal this process or a peer has seen stay withdrawn until
    they are written anew. ``changed_revision`` is that of the newest order or
    withdrawal, 0 before the first one.
    """

    def __init__(self) -> None:
        self.orders: dict[str, EvacuationOrder] = {}
        # Withdrawn orders that the restored source lists again.
        self.copies: dict[str, EvacuationOrder] = {}
        # Positions of the writes of the order in force, of each zone.
        self.written_positions: dict[str, set[int]] = {}
        self.zones: frozenset[str] = frozenset()
        self.changed_revision = 0
        # When this process learned of the order in force and of the last withdrawal of
        # each zone, in seconds of trio's clock.
        self.started_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.withdrawals = Withdrawals()

    @property
    def documents(self) -> dict[str, Change]:
        """The documents of the orders in force and of their copies, by name."""
        orders = (self.copies | self.orders).values()
        return {order.change.name: order.change for order in orders}

    def apply_listing(
        self,
        orders: Iterable[EvacuationOrder],
        *,
        names: Collection[str],
        revision: int,
    ) -> None:
        """
        Apply a listing of all orders that isn't older.

        An order whose document is not among the ``names`` of all listed documents was
        withdrawn by ``revision``, unless it was written after it.
        """
        self.withdrawals.record_listing(revision)
        for zone, order in list(self.orders.items()):
            is_covered = order.change.revision <= revision
            if is_covered and order.change.name not in names:
                self._withdraw(
                    zone, revision, is_decision=self._was_listed(zone, revision)
                )
        self.copies = {}
        for order in orders:
            self._apply_listed(order, revision)

    def apply_older_listing(self, orders: Iterable[EvacuationOrder]) -> None:
        """
        Apply what the newest listing doesn't tell: an order behind a restored copy.

        It was written after the withdrawal of the order that the copy has.
        """
        listed = [order for order in orders if order.zone in self.copies]
        self.apply_incomplete_listing(listed)

    def apply_incomplete_listing(self, orders: Iterable[EvacuationOrder]) -> None:
        """Apply orders of a listing that may lack others; none is withdrawn."""
        for order in orders:
            if not self.withdrawals.includes(order):
                self._apply(order, known_up_to=order.change.revision)

    def apply_changes(self, orders: Iterable[EvacuationOrder]) -> None:
        """Apply orders and withdrawals in their order."""
        for order in orders:
            self.copies.pop(order.zone, None)
            self._apply(order, known_up_to=order.change.revision)

    def merge(self, withdrawn: WithdrawnOrders) -> None:
        """Apply what a peer knows of withdrawn orders."""
        self.withdrawals.merge(withdrawn)
        for peer_order in withdrawn.orders:
            # So that processes which start later ask this one, too.
            self.changed_revision = max(self.changed_revision, peer_order.withdrawn_at)
        for order in list(self.orders.values()):
            if self.withdrawals.includes(order):
                self._end(order.zone)
                self.copies[order.zone] = order
                self._on_changed("evacuation_withdrawn", order.zone, 0)
        for order in list(self.copies.values()):
            if not self.withdrawals.includes(order):
                del self.copies[order.zone]
                self._apply(order, known_up_to=order.change.revision)

    def _apply_listed(self, order: EvacuationOrder, revision: int) -> None:
        """Apply an order of a listing, unless it is a copy of a withdrawn one."""
        self.withdrawals.correct(order)
        if self.withdrawals.includes(order):
            self.copies[order.zone] = order
            return
        # Documents of later pages may be newer; the changes after it follow.
        self._apply(order, known_up_to=revision)

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
            self._withdraw(order.zone, revision, is_decision=True)
            return
        self.orders[order.zone] = order
        written = self.written_positions.setdefault(order.zone, set())
        written.add(revision)
        if len(written) > MAX_WRITES:
            written.remove(min(written))
        self.started_at.setdefault(order.zone, trio.current_time())
        self.ended_at.pop(order.zone, None)
        self._on_changed("evacuation_ordered", order.zone, min(revision, known_up_to))

    def _was_listed(self, zone: str, revision: int) -> bool:
        """
        Whether the source has had an order in the history of a revision.

        If not, its copy lacks the order, which doesn't tell that it was withdrawn.
        """
        order = self.copies.get(zone, self.orders[zone])
        return history_of(order.change.revision) == history_of(revision)

    def _withdraw(self, zone: str, revision: int, *, is_decision: bool) -> None:
        """
        Remove the order of a zone.

        If operators decided so, a copy of any of its writes stays withdrawn.
        """
        written = self._end(zone)
        revisions = {revision_of(p) for p in written} if is_decision else set()
        self.withdrawals.add(zone, revisions, withdrawn_at=revision)
        self._on_changed("evacuation_withdrawn", zone, revision)

    def _end(self, zone: str) -> set[int]:
        """End the evacuation of a zone; return the positions of its writes."""
        self.orders.pop(zone, None)
        self.started_at.pop(zone, None)
        self.ended_at.pop(zone, None)
        self.ended_at[zone] = trio.current_time()
        if len(self.ended_at) > MAX_WITHDRAWN_ZONES:
            del self.ended_at[next(iter(self.ended_at))]
        return self.written_positions.pop(zone, set())

    def _known_revision(self, zone: str) -> int:
        """Return the revision of the last known write of a zone's order."""
        order = self.orders.get(zone)
        written = 0 if order is None else order.change.revision
        return max(written, self.withdrawals.last_position(zone))

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
