"""The newest state of the backend servers known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.backend_start import BackendStart
from oleanderweir.desired_state.exceptions import InvalidDocumentError


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

    A listing or change of a higher revision includes all writes of lower ones.
    ``revision`` is 0 before the first listing; ``changed_revision`` is that of the
    newest change. ``records`` has the backend servers of all valid ``documents``.
    """

    def __init__(self, *, decoder: StateDecoder) -> None:
        self.decoder = decoder
        self.revision = 0
        self.changed_revision = 0
        self.documents: dict[str, Change] = {}
        self.records: dict[str, BackendRecord] = {}
        # Time of the first listing, and of the last removal by host, in seconds of
        # trio's clock.
        self.listed_at: float | None = None
        self.removed_at: dict[str, float] = {}
        # Newest start of a backend server at each host.
        self.newest_starts: dict[str, BackendStart] = {}

    def apply_listing(self, listing: Listing) -> bool:
        """Replace all documents; return whether this changed any."""
        if listing.revision < self.revision:
            return False
        documents = {change.name: change for change in listing.documents}
        is_changed = documents != self.documents
        for name in self.documents.keys() - documents.keys():
            self._remove(name)
        for name, change in documents.items():
            if self.documents.get(name) != change:
                self._apply(change)
        if self.listed_at is None:
            self.listed_at = trio.current_time()
        self.documents = documents
        self.revision = listing.revision
        newest = max((change.revision for change in listing.documents), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        return is_changed

    def apply_changes(self, changes: Changes) -> bool:
        """Apply the changes after the known revision; return whether any was."""
        newer = [c for c in changes.changes if c.revision > self.revision]
        for change in newer:
            self.changed_revision = change.revision
            if change.document is None:
                self._remove(change.name)
            else:
                self.documents[change.name] = change
                self._apply(change)
        self.revision = max(self.revision, changes.revision)
        return bool(newer)

    def _remove(self, name: str) -> None:
        """Remove a backend server whose document was removed."""
        self.documents.pop(name, None)
        record = self.records.pop(name, None)
        if record is not None:
            self.removed_at[record.host] = trio.current_time()

    def _apply(self, change: Change) -> None:
        """Decode and apply a document; an invalid one removes its backend server."""
        self.records.pop(change.name, None)
        try:
            record = self.decoder.decode_backend_server(
                change.name, change.document or b""
            )
        except InvalidDocumentError as error:
            logger.warning(
                "published document is invalid and was not applied",
                extra={
                    "code": error.code,
                    "document": change.name,
                    "reason": str(error),
                },
            )
            return
        self.records[change.name] = record
        self._record_start(record)

    def _record_start(self, record: BackendRecord) -> None:
        """Record when the newest start of a host's backend server became known."""
        known = self.newest_starts.get(record.host)
        if known is None or known.started_at_ms < record.started_at_ms:
            self.newest_starts[record.host] = BackendStart(
                started_at_ms=record.started_at_ms, known_at=trio.current_time()
            )
