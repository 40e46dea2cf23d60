"""The newest desired state known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir.desired_state.exceptions import InvalidDocumentError


if TYPE_CHECKING:
    from oleanderweir.desired_state.desired_state import DesiredState
    from oleanderweir.desired_state.state_decoder import StateDecoder
    from oleanderweir.desired_state.topic import Change
    from oleanderweir.desired_state.topic import Changes
    from oleanderweir.desired_state.topic import Listing


logger = logging.getLogger(__name__)


class DesiredStateTopic:
    """
    Holds the desired state of the highest valid version seen so far.

    Only the version decides, never a revision: the source may return from an older
    copy, and a peer may have read it then. ``revision`` is the point from which to
    watch the source, 0 before the first listing; ``changed_revision`` is that of the
    newest change. ``documents`` has the document in force.
    """

    def __init__(self, *, decoder: StateDecoder) -> None:
        self.decoder = decoder
        self.revision = 0
        self.changed_revision = 0
        self.documents: dict[str, Change] = {}
        self.desired: DesiredState | None = None
        # All services of each route address since the process started.
        self.services_by_address: dict[bytes, set[str]] = {}
        # The last document that was not applied; it is logged once.
        self.ignored_document: bytes | None = None

    @property
    def base_revision(self) -> int:
        """The lowest revision at which another process has missed no change so far."""
        return self.changed_revision

    @property
    def version(self) -> int:
        """The version of the desired state in force, or 0 if there is none."""
        return 0 if self.desired is None else self.desired.version

    def apply_listing(self, listing: Listing) -> bool:
        """Apply a listing; return whether another desired state is in force."""
        return self._apply_all(listing.documents, listing.revision)

    def apply_changes(self, changes: Changes) -> bool:
        """Apply changes in order; return whether another desired state is in force."""
        return self._apply_all(changes.changes, changes.revision)

    def _apply_all(self, changes: tuple[Change, ...], revision: int) -> bool:
        version = self.version
        for change in changes:
            self.changed_revision = max(self.changed_revision, change.revision)
            # Routes stay when their document is removed.
            if change.document is not None:
                self._apply(change, change.document)
        self.revision = max(self.revision, revision)
        return self.version > version

    def _apply(self, change: Change, document: bytes) -> None:
        """Put a document into force if it is valid and has a higher version."""
        known = self.documents.get(change.name)
        if document == self.ignored_document or (
            known is not None and document == known.document
        ):
            return
        try:
            desired = self.decoder.decode_desired_state(document)
        except InvalidDocumentError as error:
            self.ignored_document = document
            logger.warning(
                "published document is invalid and was not applied",
                extra={
                    "code": error.code,
                    "document": change.name,
                    "reason": str(error),
                },
            )
            return
        if desired.version <= self.version:
            self.ignored_document = document
            self._log_ignored(change.name, desired.version)
            return
        self.ignored_document = None
        self.desired = desired
        self.documents = {change.name: change}
        for route in desired.routes.values():
            services = self.services_by_address.setdefault(route.address, set())
            services.update(share.service for share in route.shares)

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
