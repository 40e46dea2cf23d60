"""The newest state of the backend servers known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.exceptions import InvalidDocumentError
from oleanderweir.desired_state.positions import history_of
from oleanderweir.desired_state.record_order import RecordOrder


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_record import BackendRecord
    from oleanderweir.desired_state.state_decoder import StateDecoder
    from oleanderweir.desired_state.topic import Change
    from oleanderweir.desired_state.topic import Changes
    from oleanderweir.desired_state.topic import Listing


logger = logging.getLogger(__name__)


class BackendTopic:
    """
    Holds the published backend servers; older listings and changes are ignored.

    A listing of a higher revision tells which backend servers are published; ``order``
    tells which of their records are older than those in force. ``revision`` is 0 before
    the first listing; ``changed_revision`` is that of the newest change. ``records``
    has the backend servers of all valid ``documents``.
    """

    def __init__(self, *, decoder: StateDecoder) -> None:
        self.decoder = decoder
        self.revision = 0
        self.changed_revision = 0
        self.listed_revision = 0
        self.documents: dict[str, Change] = {}
        self.records: dict[str, BackendRecord] = {}
        self.order = RecordOrder(records=self.records)
        # Documents that were not applied, by name; each is logged once.
        self.ignored_documents: dict[str, bytes] = {}
        # Times of the first listing, of the first listing of the present history, and
        # of the last removal by host, in seconds of trio's clock.
        self.listed_at: float | None = None
        self.history_listed_at: float | None = None
        self.removed_at: dict[str, float] = {}
        # Revision of the last removal.
        self.removed_revision = 0

    @property
    def base_revision(self) -> int:
        """
        The lowest revision at which another process has missed no change so far.

        A listing doesn't tell what was removed before it, nor when.
        """
        return max(self.changed_revision, self.listed_revision)

    def apply_listing(self, listing: Listing) -> bool:
        """Apply a listing that isn't older; return whether this changed anything."""
        if listing.revision < self.revision:
            return False
        names = {change.name for change in listing.documents}
        removed = self.documents.keys() - names
        for name in removed:
            self._remove(name, revision=listing.revision)
        for name in self.ignored_documents.keys() - names:
            del self.ignored_documents[name]
        applied = [change for change in listing.documents if self._apply(change)]
        self._record_listing(listing)
        self.revision = self.listed_revision = listing.revision
        # Documents of later pages may be newer; the changes after ``revision`` follow.
        revisions = [min(c.revision, listing.revision) for c in listing.documents]
        if removed:
            # Nothing tells when they were removed.
            revisions.append(listing.revision)
        self.changed_revision = max([self.changed_revision, *revisions])
        return bool(removed or applied)

    def apply_changes(self, changes: Changes) -> bool:
        """Apply the changes after the known revision; return whether any was."""
        newer = [c for c in changes.changes if c.revision > self.revision]
        is_changed = False
        for change in newer:
            self.changed_revision = change.revision
            if change.document is None:
                self._remove(change.name, revision=change.revision)
                is_changed = True
            else:
                is_changed |= self._apply(change)
        self.revision = max(self.revision, changes.revision)
        return is_changed

    def missing_since(self, host: str) -> float | None:
        """
        Return since when a host without a published backend server counts as such.

        What a restored source has lost is published again within two seconds, so the
        first listing of a history is no older than what it lacks. ``None`` before the
        first listing.
        """
        if self.history_listed_at is None:
            return None
        return max(self.removed_at.get(host, float("-inf")), self.history_listed_at)

    def _record_listing(self, listing: Listing) -> None:
        """Record when a history was first listed."""
        now = trio.current_time()
        if self.listed_at is None:
            self.listed_at = now
        is_new_history = history_of(listing.revision) != history_of(self.revision)
        if self.history_listed_at is None or is_new_history:
            self.history_listed_at = now

    def _remove(self, name: str, *, revision: int) -> None:
        """Remove a backend server whose document was removed."""
        self.documents.pop(name, None)
        self.ignored_documents.pop(name, None)
        self._remove_record(name, revision=revision)

    def _remove_record(self, name: str, *, revision: int) -> None:
        """Remove a record, and record when its host lost its backend server."""
        record = self.records.pop(name, None)
        if record is not None:
            self.removed_at[record.host] = trio.current_time()
            self.removed_revision = max(self.removed_revision, revision)
        self.order.on_removed(name, record)

    def _apply(self, change: Change) -> bool:
        """Apply a document; return whether this changed anything."""
        name, document = change.name, change.document or b""
        if self._is_known(name, document):
            self.documents[name] = change
            return False
        try:
            record = self.decoder.decode_backend_server(name, document)
        except InvalidDocumentError as error:
            self._reject(change, error)
            return True
        newest = self.order.newest_record(name)
        if newest is not None and self._is_older(change, record, newest):
            self._ignore(name, document, record, newest)
            return False
        self.order.on_applied(
            name, record, newest, is_later_write=self._is_later_write(change)
        )
        self.ignored_documents.pop(name, None)
        self.documents[name] = change
        self.records[name] = record
        return True

    def _is_known(self, name: str, document: bytes) -> bool:
        """Whether a document is in force, or was rejected before as invalid."""
        known = self.documents.get(name)
        if known is None or known.document != document:
            return False
        return name in self.records or self.ignored_documents.get(name) == document

    def _is_later_write(self, change: Change) -> bool:
        """Whether a change was written after all that is known of its history."""
        is_same_history = history_of(change.revision) == history_of(self.revision)
        return is_same_history and change.revision > self.revision > 0

    def _is_older(
        self, change: Change, record: BackendRecord, newest: BackendRecord
    ) -> bool:
        """Whether a later write of the history or a newer record is known."""
        if self._is_overwritten(change):
            return True
        is_later_write = self._is_later_write(change)
        return self.order.is_older(
            change.name, record, newest, is_later_write=is_later_write
        )

    def _is_overwritten(self, change: Change) -> bool:
        """Whether a later write of the same history is known."""
        known = self.documents.get(change.name)
        return (
            known is not None
            and history_of(change.revision) == history_of(known.revision)
            and change.revision < known.revision
        )

    def _reject(self, change: Change, error: InvalidDocumentError) -> None:
        """Remove the backend server of an invalid document."""
        self.documents[change.name] = change
        self.ignored_documents[change.name] = change.document or b""
        self._remove_record(change.name, revision=change.revision)
        logger.warning(
            "published document is invalid and was not applied",
            extra={
                "code": error.code,
                "document": change.name,
                "reason": str(error),
            },
        )

    def _ignore(
        self, name: str, document: bytes, record: BackendRecord, newest: BackendRecord
    ) -> None:
        """Log that a document is older than one that was applied before."""
        if self.ignored_documents.get(name) == document:
            return
        self.ignored_documents[name] = document
        logger.info(
            "published document is not newer and was not applied",
            extra={
                "code": "state_ignored",
                "document": name,
                "found": f"{record.started_at_ms}/{record.sequence}",
                "in_force": f"{newest.started_at_ms}/{newest.sequence}",
            },
        )
