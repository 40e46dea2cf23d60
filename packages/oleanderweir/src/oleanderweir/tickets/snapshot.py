"""A complete state of the register at one point in time."""

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

    Tombstones with a ticket number below the floor have been removed. No ticket with
    a number below the floor may be published after the snapshot. The constructor
    raises ``InvalidSnapshotError`` if the floor or an entry is not consistent with the
    highest ticket.
    """

    floor: int
    highest_ticket: int
    entries: tuple[Entry, ...]

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.floor <= self.highest_ticket:
            raise InvalidSnapshotError(
                f"floor {self.floor} is not between 0 and the highest ticket "
                f"{self.highest_ticket}; publish a floor in this range"
            )
        if any(entry.ticket > self.highest_ticket for entry in self.entries):
            raise InvalidSnapshotError(
                f"an entry is newer than the highest ticket {self.highest_ticket}; "
                "publish the snapshot again"
            )
