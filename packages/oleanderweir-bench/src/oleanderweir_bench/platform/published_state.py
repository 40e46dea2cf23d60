"""Tickets, floors and instances that the operators have published."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.configuration_service.messages import InstanceListPart
from oleanderweir.configuration_service.messages import PublishedTicket
from oleanderweir.configuration_service.messages import TicketPage
from oleanderweir.configuration_service.messages import encode_message
from oleanderweir.tickets import InvalidTicketError
from oleanderweir.tickets import TicketRegister
from oleanderweir.tickets import parse_ticket
from oleanderweir_bench.platform.exceptions import PublishingError
from oleanderweir_bench.platform.floor_declaration import FloorDeclaration
from oleanderweir_bench.platform.partition import split_by_size
from oleanderweir_bench.platform.snapshot_parts import make_snapshot_parts


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.membership.instance_record import InstanceRecord


@attrs.define(kw_only=True, eq=False)
class PublishedState:
    """
    The published tickets, floors and instances.

    ``history`` holds the tickets in the order of publication. If a number was published
    twice, it contains both, and ticket pages contain the later text. The encoded parts
    of snapshots and instance lists are cached until the next change.
    """

    history: list[PublishedTicket] = attrs.field(factory=list)
    floors: list[FloorDeclaration] = attrs.field(factory=list)
    instances: list[InstanceRecord] = attrs.field(factory=list)
    instances_version: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)
    snapshots: dict[int, list[bytes]] = attrs.field(factory=dict)
    instance_lists: dict[str | None, list[bytes]] = attrs.field(factory=dict)

    @property
    def highest_ticket(self) -> int:
        """The highest number published."""
        return max((published.number for published in self.history), default=0)

    def publish(self, text: str) -> int:
        """
        Check and publish a ticket, and return its number.

        Raise ``InvalidTicketError`` for a text that processes would reject and
        ``PublishingError`` for a number that is not above all published ones.
        """
        number = parse_ticket(text).number
        if number <= self.highest_ticket:
            raise PublishingError(
                f"ticket {number} is not above ticket {self.highest_ticket}; "
                "publish it under a higher number"
            )
        self.publish_unchecked(PublishedTicket(number=number, text=text))
        return number

    def publish_unchecked(self, published: PublishedTicket) -> None:
        """Publish any text under any number, to simulate a mistake of an operator."""
        self.history.append(published)
        self.snapshots.clear()
        self.notify()

    def declare_floor(self, floor: int) -> None:
        """Declare a floor; later snapshots omit the tombstones below it."""
        if not 0 <= floor <= self.highest_ticket:
            raise PublishingError(
                f"floor {floor} is not between 0 and {self.highest_ticket}, "
                "the highest published ticket"
            )
        self.floors.append(
            FloorDeclaration(floor=floor, highest_ticket=self.highest_ticket)
        )
        self.snapshots.clear()

    def replace_instances(self, instances: Sequence[InstanceRecord]) -> None:
        """Replace the instance list."""
        self.instances = sorted(instances, key=lambda instance: instance.name)
        self.instances_version += 1
        self.instance_lists.clear()

    def notify(self) -> None:
        """Wake the waiting watches, so that they check the state again."""
        self.changed.set()
        self.changed = trio.Event()

    def register_at(self, ticket: int) -> TicketRegister:
        """Return the register of all valid tickets up to a number."""
        register = TicketRegister()
        for published in self.history:
            if published.number <= ticket:
                merge_if_valid(register, published)
        floors = [
            declaration.floor
            for declaration in self.floors
            if declaration.highest_ticket <= ticket
        ]
        register.raise_floor(max(floors, default=0))
        return register

    def snapshot_parts(self, ticket: int) -> list[bytes]:
        """Return the encoded parts of the snapshot at a ticket."""
        if ticket not in self.snapshots:
            parts = make_snapshot_parts(self.register_at(ticket), ticket)
            self.snapshots[ticket] = [encode_message(part) for part in parts]
        return self.snapshots[ticket]

    def ticket_page(self, after: int, ticket: int) -> TicketPage:
        """Return the tickets above ``after`` up to ``ticket``, as many as fit."""
        latest = {
            published.number: published
            for published in self.history
            if after < published.number <= ticket
        }
        first = split_by_size([latest[number] for number in sorted(latest)])[0]
        return TicketPage(highest_ticket=ticket, tickets=tuple(first))

    def instance_parts(self, availability_zone: str | None) -> list[bytes]:
        """Return the encoded parts of the instance list, or of one zone's."""
        if availability_zone not in self.instance_lists:
            parts = self.make_instance_parts(availability_zone)
            self.instance_lists[availability_zone] = [
                encode_message(part) for part in parts
            ]
        return self.instance_lists[availability_zone]

    def make_instance_parts(
        self, availability_zone: str | None
    ) -> list[InstanceListPart]:
        """Return the parts of the instance list, or of one availability zone's."""
        listed = [
            instance
            for instance in self.instances
            if availability_zone in {None, instance.availability_zone}
        ]
        groups = split_by_size(listed)
        return [
            InstanceListPart(
                version=self.instances_version,
                part=number,
                parts=len(groups),
                instances=tuple(group),
            )
            for number, group in enumerate(groups)
        ]


def merge_if_valid(register: TicketRegister, published: PublishedTicket) -> None:
    """Merge a published ticket, unless processes would reject it as invalid."""
    try:
        ticket = parse_ticket(published.text)
    except InvalidTicketError:
        return
    if ticket.number == published.number:
        register.merge(ticket.entries)
