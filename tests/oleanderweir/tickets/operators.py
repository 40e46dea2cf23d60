"""A model of the operators and the platform's service for the merge machine."""

from __future__ import annotations

import json
from collections import defaultdict

import attrs

from oleanderweir.tickets import Entry
from oleanderweir.tickets import EntryKey
from oleanderweir.tickets import Snapshot
from oleanderweir.tickets import TicketRegister
from oleanderweir.tickets import parse_ticket


Rank = tuple[int, bytes]


def rank_of(entry: Entry) -> Rank:
    return (entry.ticket, entry.digest)


@attrs.define(kw_only=True, eq=False)
class Operators:
    """Publishes tickets, and keeps every text and every snapshot for stale reads."""

    register: TicketRegister = attrs.field(factory=TicketRegister)
    texts: list[tuple[int, str]] = attrs.field(factory=list)
    snapshots: list[Snapshot] = attrs.field(factory=list)
    removals: dict[EntryKey, list[Rank]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    is_down: bool = False

    def __attrs_post_init__(self) -> None:
        self.snapshots.append(self.register.snapshot())

    @property
    def highest_ticket(self) -> int:
        return max((number for number, _ in self.texts), default=0)

    def publish(self, number: int, changes: dict[str, int | None]) -> None:
        """Publish a port for each service name; ``None`` removes the service."""
        services = {
            name: None if port is None else {"address": f"192.0.2.{ord(name)}:{port}"}
            for name, port in changes.items()
        }
        text = json.dumps({"ticket": number, "services": services})
        self.texts.append((number, text))
        entries = parse_ticket(text).entries
        for entry in entries:
            if entry.is_tombstone:
                self.removals[entry.key].append(rank_of(entry))
        self.register.merge(entries)
        self.snapshots.append(self.register.snapshot())

    def publish_invalid(self, number: int) -> None:
        text = json.dumps({"ticket": number, "services": {"a": None, "b": 1}})
        self.texts.append((number, text))

    def declare_floor(self, floor: int) -> None:
        self.register.raise_floor(floor)
        self.snapshots.append(self.register.snapshot())
