"""The order of the records of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.backend_start import BackendStart
from oleanderweir.desired_state.removed_record import RemovedRecord


if TYPE_CHECKING:
    from collections.abc import Mapping

    from oleanderweir.desired_state.backend_record import BackendRecord


# How long the last record of a removed backend server is kept, so that an older one
# isn't applied. Copies of the source are seconds old.
REMOVED_RECORD_S = 60.0


class RecordOrder:
    """
    Tells which of two records of a backend server is older.

    The records of one start are ordered by their count, and the starts by the source's
    history. A source that returned from an older copy publishes earlier records again:
    across histories, the starts are ordered by the clocks of the backend servers.
    ``records`` has the records in force by name; the topic that holds them changes it.
    """

    def __init__(self, *, records: Mapping[str, BackendRecord]) -> None:
        self.records = records
        self.removed_records: dict[str, RemovedRecord] = {}
        # Starts that another one has replaced, by name, in milliseconds of Unix time.
        self.replaced_starts: dict[str, set[int]] = {}
        # Newest start of a backend server at each host.
        self.newest_starts: dict[str, BackendStart] = {}

    def newest_record(self, name: str) -> BackendRecord | None:
        """Return the record in force under a name, or one that was removed recently."""
        removed = self.removed_records.get(name)
        if name in self.records or removed is None:
            return self.records.get(name)
        is_recent = trio.current_time() - removed.removed_at < REMOVED_RECORD_S
        return removed.record if is_recent else None

    def is_older(
        self,
        name: str,
        record: BackendRecord,
        newest: BackendRecord,
        *,
        is_later_write: bool,
    ) -> bool:
        """
        Whether a record is older than the newest one of its name.

        ``is_later_write`` tells that the source wrote it after all that is known of its
        history. A removed record may be published again, by a backend server that still
        runs. A copy may show it again too, but not once another one has started at its
        host.
        """
        if record.started_at_ms in self.replaced_starts.get(name, ()):
            return True
        if is_later_write:
            is_same_start = record.started_at_ms == newest.started_at_ms
            return is_same_start and record.is_older_than(newest)
        if record.is_older_than(newest):
            return True
        start = self.newest_starts.get(record.host)
        return (
            name not in self.records
            and start is not None
            and record.started_at_ms < start.started_at_ms
        )

    def on_applied(
        self,
        name: str,
        record: BackendRecord,
        newest: BackendRecord | None,
        *,
        is_later_write: bool,
    ) -> None:
        """Record that a record comes into force after the newest one of its name."""
        self.removed_records.pop(name, None)
        is_new_start = newest is None or newest.started_at_ms != record.started_at_ms
        if newest is not None and is_new_start and is_later_write:
            # Across histories, the clocks may order two starts wrongly.
            self.replaced_starts.setdefault(name, set()).add(newest.started_at_ms)
        known = self.newest_starts.get(record.host)
        is_later = known is None or known.started_at_ms < record.started_at_ms
        if is_later or (is_new_start and is_later_write):
            self.newest_starts[record.host] = BackendStart(
                started_at_ms=record.started_at_ms, known_at=trio.current_time()
            )

    def on_removed(self, name: str, record: BackendRecord | None) -> None:
        """Remember a record that was in force for ``REMOVED_RECORD_S``."""
        now = trio.current_time()
        self.removed_records = {
            key: removed
            for key, removed in self.removed_records.items()
            if now - removed.removed_at < REMOVED_RECORD_S
        }
        if record is not None:
            self.removed_records[name] = RemovedRecord(record=record, removed_at=now)
        remembered = self.records.keys() | self.removed_records.keys()
        for forgotten in self.replaced_starts.keys() - remembered:
            del self.replaced_starts[forgotten]
