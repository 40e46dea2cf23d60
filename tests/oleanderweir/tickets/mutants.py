"""Faulty variants of the merge and of the boot rule."""

from __future__ import annotations

from oleanderweir.tickets import BootGate
from oleanderweir.tickets import Entry
from oleanderweir.tickets import MergeOutcome
from oleanderweir.tickets import RegisterBucket


class IgnoredTicketNumber(RegisterBucket):
    """Accepts the entry that arrives last, whatever its ticket number."""

    def compare(self, entry: Entry) -> MergeOutcome:
        outcome = super().compare(entry)
        return MergeOutcome.IN_FORCE if outcome is MergeOutcome.OLDER else outcome


class EarlyCollection(RegisterBucket):
    """Removes every tombstone as soon as any floor is raised."""

    def tombstones_below(self, floor: int) -> list[Entry]:
        del floor
        return list(self.tombstones.values())


class IgnoredFloor(RegisterBucket):
    """Accepts unknown keys below the floor."""

    def compare(self, entry: Entry) -> MergeOutcome:
        outcome = super().compare(entry)
        is_rejected = outcome is MergeOutcome.BELOW_FLOOR
        return MergeOutcome.IN_FORCE if is_rejected else outcome


class IgnoredRemovals(RegisterBucket):
    """Keeps keys that a complete state does not contain."""

    def superseded_by(self, floor: int, entries: list[Entry]) -> list[Entry]:
        del floor, entries
        return []


class LastWriteWins(RegisterBucket):
    """Lets the content that arrives last win a conflict."""

    def compare(self, entry: Entry) -> MergeOutcome:
        outcome = super().compare(entry)
        return MergeOutcome.CONFLICT_WON if outcome.is_conflict else outcome


class ReadyBeforeMerge(BootGate):
    """Is ready as soon as one source has an outcome."""

    def may_serve(self) -> bool:
        return True
