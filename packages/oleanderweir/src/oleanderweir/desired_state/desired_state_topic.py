"""The newest desired state and evacuation orders known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir.desired_state.evacuation_order import EvacuationOrder
from oleanderweir.desired_state.evacuations import Evacuations
from oleanderweir.desired_state.exceptions import InvalidDocumentError


if TYPE_CHECKING:
    from oleanderweir.desired_state.desired_state import DesiredState
    from oleanderweir.desired_state.state_decoder import StateDecoder
    from oleanderweir.desired_state.topic import Change
    from oleanderweir.desired_state.topic import Changes
    from oleanderweir.desired_state.topic import Listing


logger = logging.getLogger(__name__)

NOT_APPLIED = "published document is invalid and was not applied"


class DesiredStateTopic:
    """
    Holds the desired state of the highest valid version seen so far.

    Only the version decides, never a revision: the source may return from an older
    copy, and a peer may have read it then. ``revision`` is the point from which to
    watch the source, 0 before the first listing; ``changed_revision`` is that of the
    newest change. Orders to evacuate availability zones are documents of their own,
    ``evacuations`` has those in force. ``documents`` has all documents in force.
    """

    def __init__(self, *, decoder: StateDecoder) -> None:
        self.decoder = decoder
        self.revision = 0
        self.changed_revision = 0
        self.configuration: dict[str, Change] = {}
        self.desired: DesiredState | None = None
        self.evacuations = Evacuations()
        # All services of each route address since the process started.
        self.services_by_address: dict[bytes, set[str]] = {}
        # The last document that was not applied; it is logged once.
        self.ignored_document: bytes | None = None
        # Invalid orders of the last listing and later, by name; each is logged once.
        self.invalid_orders: dict[str, bytes | None] = {}

    @property
    def documents(self) -> dict[str, Change]:
        """The documents of the desired state and the orders in force, by name."""
        return self.configuration | self.evacuations.documents

    @property
    def base_revision(self) -> int:
        """The lowest revision at which another process has missed no change so far."""
        return self.changed_revision

    @property
    def version(self) -> int:
        """The version of the desired state in force, or 0 if there is none."""
        return 0 if self.desired is None else self.desired.version

    def apply_listing(self, listing: Listing) -> bool:
        """Apply a listing; return whether the desired state or an order changed."""
        zones = self.evacuations.zones
        orders, others = self._split(listing.documents)
        self._apply_listed_orders(orders, listing)
        # Changes of orders that an incomplete listing lacks are still to be read.
        revision = 0 if listing.withdrawn is None else listing.revision
        is_applied = self._apply_all(others, revision)
        return is_applied or self.evacuations.zones != zones

    def apply_changes(self, changes: Changes) -> bool:
        """Apply changes; return whether the desired state or an order is another."""
        zones = self.evacuations.zones
        orders, others = self._split(changes.changes)
        self.evacuations.apply_changes(orders)
        is_applied = self._apply_all(others, changes.revision)
        return is_applied or self.evacuations.zones != zones

    def _apply_listed_orders(
        self, orders: list[EvacuationOrder], listing: Listing
    ) -> None:
        """Apply the orders of a listing, as far as it is newer and complete."""
        is_older = listing.revision < self.revision
        if listing.withdrawn is None:
            if not is_older:
                self.evacuations.apply_incomplete_listing(orders)
            return
        self.evacuations.merge(listing.withdrawn)
        if is_older:
            self.evacuations.apply_older_listing(orders)
            return
        names = {change.name for change in listing.documents}
        for name in self.invalid_orders.keys() - names:
            del self.invalid_orders[name]
        self.evacuations.apply_listing(orders, names=names, revision=listing.revision)

    def _split(
        self, changes: tuple[Change, ...]
    ) -> tuple[list[EvacuationOrder], list[Change]]:
        """Return the valid evacuation orders, and the changes of other documents."""
        orders: list[EvacuationOrder] = []
        others: list[Change] = []
        for change in changes:
            self.changed_revision = max(self.changed_revision, change.revision)
            try:
                zone = self.decoder.decode_evacuated_zone(change.name)
            except InvalidDocumentError as error:
                self._report_order(change, error, NOT_APPLIED)
                continue
            if zone is None:
                others.append(change)
                continue
            self._check_order(change)
            orders.append(EvacuationOrder(zone=zone, change=change))
        return orders, others

    def _check_order(self, change: Change) -> None:
        """
        Report an order with an invalid value.

        Its key alone decides: processes that know what was ordered before agree with
        those that have just started.
        """
        try:
            if change.document is not None:
                self.decoder.check_evacuation_order(change.document)
        except InvalidDocumentError as error:
            self._report_order(change, error, "evacuation order is invalid, but obeyed")
        else:
            self.invalid_orders.pop(change.name, None)

    def _report_order(
        self, change: Change, error: InvalidDocumentError, text: str
    ) -> None:
        """Log an invalid order once."""
        known = change.name in self.invalid_orders
        if known and self.invalid_orders[change.name] == change.document:
            return
        self.invalid_orders[change.name] = change.document
        self._log_invalid(change, error, text)

    def _apply_all(self, changes: list[Change], revision: int) -> bool:
        version = self.version
        for change in changes:
            # Routes stay when their document is removed.
            if change.document is not None:
                self._apply(change, change.document)
        self.revision = max(self.revision, revision)
        return self.version > version

    def _apply(self, change: Change, document: bytes) -> None:
        """Put a document into force if it is valid and has a higher version."""
        known = self.configuration.get(change.name)
        if document == self.ignored_document or (
            known is not None and document == known.document
        ):
            return
        try:
            desired = self.decoder.decode_desired_state(document)
        except InvalidDocumentError as error:
            self.ignored_document = document
            self._log_invalid(change, error, NOT_APPLIED)
            return
        if desired.version <= self.version:
            self.ignored_document = document
            self._log_ignored(change.name, desired.version)
            return
        self.ignored_document = None
        self.desired = desired
        self.configuration = {change.name: change}
        for route in desired.routes.values():
            services = self.services_by_address.setdefault(route.address, set())
            services.update(share.service for share in route.shares)

    def _log_invalid(
        self, change: Change, error: InvalidDocumentError, text: str
    ) -> None:
        """Log that a document is invalid."""
        logger.warning(
            text,
            extra={
                "code": error.code,
                "document": change.name,
                "reason": str(error),
            },
        )

    def _log_ignored(self, name: str, version: int) -> None:
        """Log that a document is not newer than the one in force."""
        logger.info(
            "published document is not newer and was not applied",
            extra={
                "code": "state_ignored",
                "document": name,
                "found": version,
                "in_force": self.version,
            },
        )
