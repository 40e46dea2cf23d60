"""The state that the tickets in force describe, with one entry per key."""

from __future__ import annotations

import hashlib
import logging
import struct
from typing import TYPE_CHECKING

import attrs

from oleanderweir.tickets.entry import Entry
from oleanderweir.tickets.entry_key import BUCKET_COUNT
from oleanderweir.tickets.merge_outcome import MergeOutcome
from oleanderweir.tickets.metrics import ENTRIES_COLLECTED
from oleanderweir.tickets.metrics import ENTRIES_DROPPED
from oleanderweir.tickets.metrics import ENTRIES_MERGED
from oleanderweir.tickets.metrics import TICKET_CONFLICTS
from oleanderweir.tickets.register_bucket import RegisterBucket
from oleanderweir.tickets.snapshot import Snapshot


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from oleanderweir.tickets.entry_key import EntryKey


REGISTER_DIGEST_SIZE_BYTES = 16
DROPPED_BY_OUTCOME = {
    outcome: ENTRIES_DROPPED.labels(reason=outcome.value)
    for outcome in MergeOutcome
    if not outcome.is_in_force
}

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class TicketRegister:
    """
    For each key, the entry of the highest ticket that the process has received.

    Merging is commutative, associative and idempotent, so stale reads, replays and
    any order of arrival result in the same state. ``listeners`` are called with the
    entries that came into force; a key removed by a raised floor is reported as a
    tombstone.
    """

    bucket_type: type[RegisterBucket] = RegisterBucket
    highest_ticket: int = 0
    listeners: list[Callable[[tuple[Entry, ...]], None]] = attrs.field(factory=list)
    buckets: list[RegisterBucket] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.buckets = [self.bucket_type() for _ in range(BUCKET_COUNT)]

    @property
    def floor(self) -> int:
        """The floor that every bucket has reached."""
        return min(bucket.floor for bucket in self.buckets)

    def merge(self, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Merge entries from any source; return those newly in force."""
        changed = [entry for entry in entries if self.merge_entry(entry)]
        return self.notify_listeners(changed)

    def merge_bucket(
        self, number: int, *, floor: int, entries: Iterable[Entry]
    ) -> tuple[Entry, ...]:
        """
        Merge the complete content of a bucket at a floor; return what changed.

        Keys that this register contains but that were removed below the floor are
        removed, and the floor of the bucket is raised.
        """
        return self.notify_listeners(
            self.merge_complete_bucket(number, floor, list(entries))
        )

    def merge_snapshot(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """Merge a complete state and adopt its floor; return what changed."""
        groups: list[list[Entry]] = [[] for _ in range(BUCKET_COUNT)]
        for entry in snapshot.entries:
            groups[entry.key.bucket].append(entry)
        changed: list[Entry] = []
        for number, group in enumerate(groups):
            changed += self.merge_complete_bucket(number, snapshot.floor, group)
        self.highest_ticket = max(self.highest_ticket, snapshot.highest_ticket)
        return self.notify_listeners(changed)

    def raise_floor(self, floor: int) -> None:
        """
        Remove the tombstones below a floor, and reject unknown keys below it.

        Call it only on a register that contains a complete state at this floor. To
        adopt the floor of a snapshot or a peer, use ``merge_snapshot``,
        ``merge_bucket`` or ``adopt_floor``.
        """
        for bucket in self.buckets:
            self.raise_bucket_floor(bucket, floor)

    def adopt_floor(self, floor: int, digests: Sequence[int]) -> tuple[int, ...]:
        """
        Adopt a peer's floor in the buckets whose content equals the peer's.

        ``digests`` are the peer's bucket digests at that floor. Return the numbers of
        the buckets that differ; fetch their complete content from the peer and merge
        it with ``merge_bucket``.
        """
        differing: list[int] = []
        for number, (bucket, digest) in enumerate(
            zip(self.buckets, digests, strict=True)
        ):
            if bucket.digest_at(floor) == digest:
                self.raise_bucket_floor(bucket, floor)
            else:
                differing.append(number)
        return tuple(differing)

    def entry(self, key: EntryKey) -> Entry | None:
        """Return the entry in force for a key, which may be a tombstone."""
        return self.buckets[key.bucket].entries.get(key)

    def entries(self) -> tuple[Entry, ...]:
        """Return every entry in force, tombstones included."""
        return tuple(
            entry for bucket in self.buckets for entry in bucket.entries.values()
        )

    def bucket_entries(self, number: int) -> tuple[Entry, ...]:
        """Return the entries of one bucket, tombstones included."""
        return tuple(self.buckets[number].entries.values())

    def snapshot(self) -> Snapshot:
        """Return the complete state, for a process that boots."""
        return Snapshot(
            floor=self.floor,
            highest_ticket=self.highest_ticket,
            entries=self.entries(),
        )

    def bucket_digests(self, floor: int | None = None) -> tuple[int, ...]:
        """Return a 64-bit digest for each bucket, at a higher floor if one is given."""
        if floor is None:
            return tuple(bucket.digest for bucket in self.buckets)
        return tuple(bucket.digest_at(floor) for bucket in self.buckets)

    def digest(self) -> bytes:
        """Return a digest of the content; equal content has equal digests."""
        packed = struct.pack(f"!{BUCKET_COUNT}Q", *self.bucket_digests())
        return hashlib.blake2b(packed, digest_size=REGISTER_DIGEST_SIZE_BYTES).digest()

    def merge_entry(self, entry: Entry) -> bool:
        """Merge one entry and return whether it came into force."""
        outcome = self.buckets[entry.key.bucket].merge(entry)
        if outcome.is_conflict:
            self.report_conflict(entry, outcome)
        if not outcome.is_in_force:
            DROPPED_BY_OUTCOME[outcome].inc()
            return False
        self.highest_ticket = max(self.highest_ticket, entry.ticket)
        ENTRIES_MERGED.inc()
        return True

    def merge_complete_bucket(
        self, number: int, floor: int, entries: list[Entry]
    ) -> list[Entry]:
        """Merge the complete content of a bucket without notifying the listeners."""
        bucket = self.buckets[number]
        changed = [entry for entry in entries if self.merge_entry(entry)]
        for removed in bucket.superseded_by(floor, entries):
            bucket.remove(removed)
            ENTRIES_COLLECTED.labels(reason="superseded").inc()
            changed.append(Entry(key=removed.key, ticket=floor - 1, value=None))
        self.raise_bucket_floor(bucket, floor)
        return changed

    def raise_bucket_floor(self, bucket: RegisterBucket, floor: int) -> None:
        """Raise the floor of a bucket and count the tombstones that this removes."""
        collected = bucket.raise_floor(floor)
        if collected:
            ENTRIES_COLLECTED.labels(reason="tombstone").inc(len(collected))

    def notify_listeners(self, changed: list[Entry]) -> tuple[Entry, ...]:
        """Notify the listeners of the changed entries and return these."""
        entries = tuple(changed)
        if entries:
            for listener in self.listeners:
                listener(entries)
        return entries

    def report_conflict(self, entry: Entry, outcome: MergeOutcome) -> None:
        """Count and log that one ticket number has two different contents."""
        TICKET_CONFLICTS.inc()
        logger.error(
            "ticket %d has two different contents for %s; publish the correct one "
            "under a new number",
            entry.ticket,
            entry.key,
            extra={"code": "conflicting_ticket", "outcome": outcome.value},
        )
