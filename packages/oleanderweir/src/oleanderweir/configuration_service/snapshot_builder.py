"""Assembles a snapshot from its published parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.tickets import Entry
from oleanderweir.tickets import EntryKey
from oleanderweir.tickets import EntryKind
from oleanderweir.tickets import InvalidSnapshotError
from oleanderweir.tickets import Snapshot
from oleanderweir.tickets import read_published_entry
from oleanderweir.tickets.metrics import ENTRIES_DROPPED


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration_service.messages import PublishedEntry
    from oleanderweir.configuration_service.messages import SnapshotPart


def build_snapshot(parts: Sequence[SnapshotPart]) -> Snapshot:
    """
    Return the snapshot that consists of these parts.

    Raise ``InvalidSnapshotError`` when an entry is missing or not valid. An invalid
    entry is not skipped, because a key that a snapshot lacks counts as removed.
    """
    published = [entry for part in parts for entry in part.entries]
    key_count = len({entry.key for entry in published})
    if not key_count == len(published) == parts[0].entry_count:
        raise InvalidSnapshotError(
            f"the snapshot declares {parts[0].entry_count} entries but contains "
            f"{len(published)} with {key_count} different keys; publish it again"
        )
    entries = [read_entry(entry) for entry in published if has_known_kind(entry)]
    return Snapshot(
        floor=parts[0].floor,
        highest_ticket=parts[0].highest_ticket,
        entries=tuple(entries),
    )


def has_known_kind(published: PublishedEntry) -> bool:
    """Whether this release knows the kind of an entry; unknown ones are counted."""
    is_known = published.key.partition("/")[0] in set(EntryKind)
    if not is_known:
        ENTRIES_DROPPED.labels(reason="unknown_kind").inc()
    return is_known


def read_entry(published: PublishedEntry) -> Entry:
    """Parse an entry; raise ``InvalidSnapshotError`` when it is not valid."""
    try:
        return read_published_entry(
            key=EntryKey.parse(published.key),
            ticket=published.ticket,
            document=published.value,
        )
    except OleanderweirError as error:
        raise InvalidSnapshotError(
            f"entry {published.key!r} of the snapshot is not valid: {error.message}"
        ) from error
