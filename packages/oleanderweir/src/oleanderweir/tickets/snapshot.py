"""A complete state of the register at one moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.tickets.exceptions import InvalidSnapshotError


if TYPE_CHECKING:
    from oleanderweir.tickets.entry import Entry


@attrs.frozen(kw_only=True)
class Snapshot:
    """
    Every live entry up to ``highest_ticket``, and every tombstone from ``floor`` on.

    Tombstones below the floor have been collected. No ticket with a number below the
    floor may be published after the snapshot. Raise ``InvalidSnapshotError`` when the
    numbers contradict each other.
    """

    floor: int
    highest_ticket: int
    entries: tuple[Entry, ...]

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.floor <= self.highest_ticket:
            raise InvalidSnapshotError(
                f"floor {self.floor} exceeds ticket {self.highest_ticket}; "
                "publish a floor up to the highest ticket of the snapshot"
            )
        if any(entry.ticket > self.highest_ticket for entry in self.entries):
            raise InvalidSnapshotError(
                f"an entry is newer than ticket {self.highest_ticket}; "
                "publish the snapshot again"
            )
