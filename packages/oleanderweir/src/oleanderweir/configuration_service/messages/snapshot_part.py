"""One part of a published snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.configuration_service.messages.published_entry import (
        PublishedEntry,
    )


@attrs.frozen(kw_only=True)
class SnapshotPart:
    """
    Some of the entries of a snapshot.

    Parts are numbered from 0 to ``parts - 1``. ``floor``, ``highest_ticket``,
    ``parts`` and ``entry_count`` (of all parts) are the same in every part of one
    snapshot.
    """

    floor: int
    highest_ticket: int
    part: int
    parts: int
    entry_count: int
    entries: tuple[PublishedEntry, ...]

    @property
    def state_id(self) -> tuple[int, int, int, int]:
        """The values that are the same in all parts of one snapshot."""
        return (self.floor, self.highest_ticket, self.parts, self.entry_count)
