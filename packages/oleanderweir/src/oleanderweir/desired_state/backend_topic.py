"""The newest state of the backend servers known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.backend_start import BackendStart
from oleanderweir.desired_state.exceptions import InvalidDocumentError
from oleanderweir.desired_state.positions import history_of
from oleanderweir.desired_state.removed_record import RemovedRecord


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_record import BackendRecord
    from oleanderweir.desired_state.state_decoder import StateDecoder
    from oleanderweir.desired_state.topic import Change
    from oleanderweir.desired_state.topic import Changes
    from oleanderweir.desired_state.topic import Listing


logger = logging.getLogger(__name__)

# How long the last record of a removed backend server is kept, so that an older one
# isn't applied. Copies of the source are seconds old.
REMOVED_RECORD_S = 60.0


class BackendTopic:
    """
    Holds the published backend servers; older listings and changes are ignored.

    A listing of a higher revision tells which backend servers are published. The
    records of one start are ordered by their count, and the starts by the source's
    history. A source that returned from an older copy publishes earlier records again:
    across histories, the starts are ordered by the clocks of the backend servers.
    ``revision`` is 0 before the first listing; ``changed_revision`` is that of the
    newest change. ``records`` has the backend servers of all valid ``documents``.
    """

    def __init__(self, *, decoder: StateDecoder) -> None:
        self.decoder = decoder
        self.revision = 0
        self.changed_revision = 0
        self.listed_revision = 0
        self.documents: dict[str, Change] = {}
        self.records: dict[str, BackendRecord] = {}
        self.removed_records: dict[str, RemovedRecord] = {}
        # Documents that were not applied, by name; each is logged once.
        self.ignored_documents: dict[str, bytes] = {}
        # Time of the first listing, and of the last removal by host, in seconds of
        # trio's clock.
        self.listed_at: float | None = None
        self.removed_at: dict[str, float] = {}
        # Revision of the last removal.
        self.removed_revision = 0
        # Starts that another one has replaced, by name, in milliseconds of Unix time.
        self.replaced_starts: dict[str, set[int]] = {}
        # Newest start of a backend server at each host.
        self.newest_starts: dict[str, BackendStart] = {}

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
        if self.listed_at is None:
            self.listed_at = trio.current_time()
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

    def _remove(self, name: str, *, revision: int) -> None:
        """Remove a backend server whose document was removed."""
        self.documents.pop(name, None)
        self.ignored_documents.pop(name, None)
        self._remove_record(name, revision=revision)

    def _remove_record(self, name: str, *, revision: int) -> None:
        """Remove a record, and remember it for ``REMOVED_RECORD_S``."""
        now = trio.current_time()
        self.removed_records = {
            key: removed
            for key, removed in self.removed_records.items()
            if now - removed.removed_at < REMOVED_RECORD_S
        }
        record = self.records.pop(name, None)
        if record is not None:
            self.removed_records[name] = RemovedRecord(record=record, removed_at=now)
            self.removed_at[record.host] = now
            self.removed_revision = max(self.removed_revision, revision)
        remembered = self.records.keys() | self.removed_records.keys()
        for forgotten in self.replaced_starts.keys() - remembered:
            del self.replaced_starts[forgotten]

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
        newest = self._newest_record(name)
        if newest is not None and self._is_older(change, record, newest):
            self._ignore(name, document, record, newest)
            return False
        if newest is not None and self._is_restart(change, record, newest):
            self.replaced_starts.setdefault(name, set()).add(newest.started_at_ms)
        self._record_start(change, record, newest)
        self.ignored_documents.pop(name, None)
        self.removed_records.pop(name, None)
        self.documents[name] = change
        self.records[name] = record
        return True

    def _is_known(self, name: str, document: bytes) -> bool:
        """Whether a document is in force, or was rejected before as invalid."""
        known = self.documents.get(name)
        if known is None or known.document != document:
            return False
        return name in self.records or self.ignored_documents.get(name) == document

    def _follows(self, change: Change) -> bool:
        """Whether a change was written after all that is known of its history."""
        is_same_history = history_of(change.revision) == history_of(self.revision)
        return is_same_history and change.revision > self.revision > 0

    def _is_restart(
        self, change: Change, record: BackendRecord, newest: BackendRecord
    ) -> bool:
        """
        Whether a record is certainly of a later start than the newest one of its name.

        Across histories, the clocks may order two starts wrongly.
        """
        is_other_start = record.started_at_ms != newest.started_at_ms
        return is_other_start and self._follows(change)

    def _is_older(
        self, change: Change, record: BackendRecord, newest: BackendRecord
    ) -> bool:
        """
        Whether a record is older than the newest one of its name.

        A removed record may be published again, by a backend server that still runs. A
        copy may show it again too, but not once another one has started at its host.
        """
        if self._is_replaced(change, record):
            return True
        if self._follows(change):
            is_same_start = record.started_at_ms == newest.started_at_ms
            return is_same_start and record.is_older_than(newest)
        if record.is_older_than(newest):
            return True
        start = self.newest_starts.get(record.host)
        return (
            change.name not in self.records
            and start is not None
            and record.started_at_ms < start.started_at_ms
        )

    def _is_replaced(self, change: Change, record: BackendRecord) -> bool:
        """Whether a later write of the history or a later start is known."""
        if record.started_at_ms in self.replaced_starts.get(change.name, ()):
            return True
        known = self.documents.get(change.name)
        return (
            known is not None
            and history_of(change.revision) == history_of(known.revision)
            and change.revision < known.revision
        )

    def _newest_record(self, name: str) -> BackendRecord | None:
        """Return the record in force under a name, or one that was removed recently."""
        removed = self.removed_records.get(name)
        if name in self.records or removed is None:
            return self.records.get(name)
        is_recent = trio.current_time() - removed.removed_at < REMOVED_RECORD_S
        return removed.record if is_recent else None

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

    def _record_start(
        self, change: Change, record: BackendRecord, previous: BackendRecord | None
    ) -> None:
        """Record when the newest start of a host's backend server became known."""
        known = self.newest_starts.get(record.host)
        is_later = known is None or known.started_at_ms < record.started_at_ms
        is_new = previous is None or previous.started_at_ms != record.started_at_ms
        if is_later or (is_new and self._follows(change)):
            self.newest_starts[record.host] = BackendStart(
                started_at_ms=record.started_at_ms, known_at=trio.current_time()
            )
