"""One bucket of the register, with the rule that merges its entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.tickets.merge_outcome import MergeOutcome


if TYPE_CHECKING:
    from oleanderweir.tickets.entry import Entry
    from oleanderweir.tickets.entry_key import EntryKey


@attrs.define(kw_only=True)
class RegisterBucket:
    """
    The entries whose keys hash to one bucket.

    The bucket contains every live key whose last ticket is below ``floor``. So an
    entry below the floor whose key the bucket does not contain belongs to a removed
    key. ``digest`` is the exclusive or of the checksums of ``entries``. ``tombstones``
    contains the tombstones among ``entries``.
    """

    floor: int = 0
    entries: dict[EntryKey, Entry] = attrs.field(factory=dict)
    tombstones: dict[EntryKey, Entry] = attrs.field(factory=dict)
    digest: int = 0

    def merge(self, entry: Entry) -> MergeOutcome:
        """Store the entry if it wins over the current one; return the outcome."""
        outcome = self.compare(entry)
        if outcome.is_in_force:
            self.put(entry)
        return outcome

    def compare(self, entry: Entry) -> MergeOutcome:
        """Return the outcome that merging the entry would have, without merging it."""
        current = self.entries.get(entry.key)
        if current is None:
            is_removed = entry.ticket < self.floor
            return MergeOutcome.BELOW_FLOOR if is_removed else MergeOutcome.IN_FORCE
        if entry.ticket != current.ticket:
            is_newer = entry.ticket > current.ticket
            return MergeOutcome.IN_FORCE if is_newer else MergeOutcome.OLDER
        if entry.digest == current.digest:
            return MergeOutcome.KNOWN
        # Any total order selects the same winner in every process.
        has_won = entry.digest > current.digest
        return MergeOutcome.CONFLICT_WON if has_won else MergeOutcome.CONFLICT_LOST

    def digest_at(self, floor: int) -> int:
        """Return the digest that the bucket would have at a higher floor."""
        digest = self.digest
        for entry in self.tombstones_below(floor):
            digest ^= entry.checksum
        return digest

    def tombstones_below(self, floor: int) -> list[Entry]:
        """Return the tombstones that are no longer needed at a floor."""
        return [entry for entry in self.tombstones.values() if entry.ticket < floor]

    def raise_floor(self, floor: int) -> list[Entry]:
        """
        Raise the floor; remove the tombstones below it and return them.

        Call it only if the bucket contains every live entry below the floor.
        """
        if floor <= self.floor:
            return []
        self.floor = floor
        collected = self.tombstones_below(floor)
        for entry in collected:
            self.remove(entry)
        return collected

    def superseded_by(self, floor: int, entries: list[Entry]) -> list[Entry]:
        """
        Return the live entries that a complete state at a floor shows to be removed.

        A complete state contains every live key. So a key that it lacks, and whose
        entry here is below the floor, was removed by a ticket below the floor.
        """
        if floor <= self.floor:
            return []
        complete = {entry.key for entry in entries}
        return [
            entry
            for entry in self.entries.values()
            if entry.ticket < floor
            and entry.key not in complete
            and entry.value is not None
        ]

    def put(self, entry: Entry) -> None:
        """Store the entry in place of the current entry of its key."""
        current = self.entries.get(entry.key)
        if current is not None:
            self.digest ^= current.checksum
        self.entries[entry.key] = entry
        self.digest ^= entry.checksum
        self.tombstones.pop(entry.key, None)
        if entry.is_tombstone:
            self.tombstones[entry.key] = entry

    def remove(self, entry: Entry) -> None:
        """Remove a stored entry."""
        del self.entries[entry.key]
        self.tombstones.pop(entry.key, None)
        self.digest ^= entry.checksum
