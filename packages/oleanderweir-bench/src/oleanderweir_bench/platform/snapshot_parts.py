"""Converts a register to the parts of a published snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.configuration_service.messages import PublishedEntry
from oleanderweir.configuration_service.messages import SnapshotPart
from oleanderweir_bench.platform.partition import split_by_size


if TYPE_CHECKING:
    from oleanderweir.tickets import Entry
    from oleanderweir.tickets import TicketRegister


def make_snapshot_parts(
    register: TicketRegister, highest_ticket: int
) -> list[SnapshotPart]:
    """Return the parts of the snapshot of a register."""
    published = [to_published_entry(entry) for entry in register.entries()]
    groups = split_by_size(published)
    return [
        SnapshotPart(
            floor=register.floor,
            highest_ticket=highest_ticket,
            part=number,
            parts=len(groups),
            entry_count=len(published),
            entries=tuple(group),
        )
        for number, group in enumerate(groups)
    ]


def to_published_entry(entry: Entry) -> PublishedEntry:
    """Return the published form of an entry, without the name, which the key holds."""
    document = entry.document
    if document is not None:
        del document["name"]
    return PublishedEntry(key=str(entry.key), ticket=entry.ticket, value=document)
