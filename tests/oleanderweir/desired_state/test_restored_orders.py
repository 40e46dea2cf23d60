"""Evacuation orders at processes that follow a source which is restored."""

from __future__ import annotations

import random

import attrs
import pytest

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import WithdrawnOrders
from oleanderweir.desired_state import history_of
from oleanderweir.desired_state import make_position
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import order_change


FIRST_REVISION = 10
PROCESSES = 4


class OrderSource:
    """A source with the order of one zone, which returns from older copies."""

    def __init__(self) -> None:
        self.history = 1
        self.revision = FIRST_REVISION
        # Of all histories: no revision is given to two orders.
        self.highest_revision = FIRST_REVISION
        # Revisions of the writes that are part of the history, and their documents;
        # and those of the history before the last restore.
        self.writes: dict[int, bytes | None] = {}
        self.replaced: dict[int, bytes | None] = {}
        # The order that operators want in force, and those that they withdrew.
        self.wanted: bytes | None = None
        self.withdrawn: set[bytes | None] = set()

    @property
    def position(self) -> int:
        return make_position(history=self.history, revision=self.revision)

    @property
    def changes(self) -> list[Change]:
        positions = {
            make_position(history=self.history, revision=revision): document
            for revision, document in self.writes.items()
        }
        return [
            order_change("a", revision=position, document=document)
            for position, document in positions.items()
        ]

    def order(self, *, step: int) -> None:
        self.revision = max(self.revision, self.highest_revision) + step
        self.highest_revision = self.revision
        self.wanted = f'{{"{self.position}": 0}}'.encode()
        self.writes[self.revision] = self.wanted

    def withdraw(self, *, step: int) -> None:
        self.revision += step
        self.withdrawn |= {self.wanted, *self.writes.values()}
        self.wanted = None
        self.writes[self.revision] = None

    def restore(self, revision: int) -> None:
        self.replaced = self.writes
        self._return_to({r: d for r, d in self.writes.items() if r <= revision})
        self.revision = revision

    def undo_restore(self) -> None:
        """Return from the copy that the last restore should have used."""
        self._return_to(self.replaced)
        self.revision = max([self.revision, *self.replaced])

    def _return_to(self, writes: dict[int, bytes | None]) -> None:
        self.history += 1
        self.writes = dict(writes)
        listed = self.list_all().documents
        if not listed:
            # What the copy lacks has ended.
            self.wanted = None
        elif listed[0].document not in self.withdrawn:
            self.wanted = listed[0].document

    def list_all(self) -> Listing:
        documents = tuple(c for c in self.changes[-1:] if c.document is not None)
        return Listing(
            topic=Topic.DESIRED_STATE, revision=self.position, documents=documents
        )

    def bring_up_to_date(self, register: StateRegister) -> None:
        """Deliver what a watch does, or a listing after a restore."""
        known = register.revision(Topic.DESIRED_STATE)
        if history_of(known) != self.history:
            register.apply_listing(self.list_all(), origin="source")
            return
        newer = tuple(c for c in self.changes if c.revision > known)
        changes = Changes(
            topic=Topic.DESIRED_STATE, revision=self.position, changes=newer
        )
        register.apply_changes(changes, origin="source")


def send_state(sender: StateRegister, receiver: StateRegister) -> None:
    if sender.revision(Topic.DESIRED_STATE):
        receiver.apply_listing(sender.export(Topic.DESIRED_STATE), origin="peer")


def send_earlier_release(source: OrderSource, receiver: StateRegister) -> None:
    """Send the listing of a peer that doesn't know orders."""
    listing = attrs.evolve(source.list_all(), documents=(), withdrawn=None)
    receiver.apply_listing(listing, origin="peer")


def restart(
    source: OrderSource, registers: list[StateRegister], number: int, informant: int
) -> None:
    """Replace a process by one that asks a peer which knows what it knew."""
    send_state(registers[number], registers[informant])
    source.bring_up_to_date(registers[informant])
    # Other documents are written, too.
    source.revision += 1
    registers[number] = make_register()
    source.bring_up_to_date(registers[number])
    send_state(registers[informant], registers[number])


def have_event(
    source: OrderSource, registers: list[StateRegister], chance: random.Random
) -> None:
    """Have one thing happen at random; the first process learns of it at once."""
    first, second = chance.sample(range(PROCESSES), 2)
    events = ["order", "withdraw", "restore", "undo", "start", "list", "send"]
    match chance.choice(events):
        case "order" if source.wanted is None:
            source.order(step=chance.randint(1, 4))
        case "withdraw" if source.list_all().documents:
            source.withdraw(step=chance.randint(1, 4))
        case "restore":
            source.restore(chance.randint(FIRST_REVISION, source.revision))
        case "undo" if source.replaced:
            source.undo_restore()
        case "start":
            restart(source, registers, first, second)
        case "list":
            registers[first].apply_listing(source.list_all(), origin="source")
            send_earlier_release(source, registers[second])
        case "send":
            send_state(registers[first], registers[second])
    source.bring_up_to_date(registers[0])


@pytest.mark.parametrize("seed", range(300))
async def test_all_processes_agree_on_the_last_decision_of_operators(seed: int) -> None:
    chance = random.Random(seed)
    source = OrderSource()
    registers = [make_register() for _ in range(PROCESSES)]
    source.bring_up_to_date(registers[0])
    for _ in range(chance.randint(5, 40)):
        have_event(source, registers, chance)
        assert registers[0].is_evacuated("a") is bool(source.wanted)

    for register in registers:
        source.bring_up_to_date(register)
        send_state(registers[0], register)
    for _ in range(PROCESSES):
        send_state(*chance.sample(registers, 2))

    assert {r.is_evacuated("a") for r in registers} == {bool(source.wanted)}


async def test_a_new_order_with_the_revision_of_a_withdrawn_one_is_in_force() -> None:
    source, peer, process = OrderSource(), make_register(), make_register()
    source.order(step=2)
    source.bring_up_to_date(peer)
    source.withdraw(step=1)
    source.bring_up_to_date(peer)
    send_state(peer, process)
    source.restore(FIRST_REVISION)
    source.bring_up_to_date(peer)

    source.revision += 2
    source.writes[source.revision] = b"{}"
    source.bring_up_to_date(process)
    # The peer has listed the source before the write, and its state is older.
    send_state(peer, process)
    source.bring_up_to_date(peer)

    assert peer.is_evacuated("a")
    assert process.is_evacuated("a")


async def test_the_source_corrects_a_peer_that_holds_an_order_for_withdrawn() -> None:
    source, peer, process = OrderSource(), make_register(), make_register()
    source.order(step=1)
    source.bring_up_to_date(peer)
    empty = attrs.evolve(source.list_all(), documents=())
    peer.apply_listing(empty, origin="peer")
    send_state(peer, process)

    process.apply_listing(source.list_all(), origin="source")

    assert process.is_evacuated("a")


async def test_a_listing_that_may_lack_orders_withdraws_none_and_hides_no_change() -> (
    None
):
    source = OrderSource()
    register = make_register()
    source.order(step=1)
    source.bring_up_to_date(register)
    source.withdraw(step=1)

    send_earlier_release(source, register)
    assert register.is_evacuated("a")
    source.bring_up_to_date(register)

    assert not register.is_evacuated("a")


async def test_withdrawn_orders_are_remembered_within_a_bound() -> None:
    source = OrderSource()
    register = make_register()
    for _ in range(1000):
        source.order(step=1)
        source.bring_up_to_date(register)
        source.withdraw(step=1)
        source.bring_up_to_date(register)

    withdrawn = register.export(Topic.DESIRED_STATE).withdrawn
    assert isinstance(withdrawn, WithdrawnOrders)
    assert len(withdrawn.orders) <= 256
    copy = order_change("a", revision=make_position(history=2, revision=2009))
    revision = make_position(history=2, revision=2009)
    register.apply_listing(
        Listing(topic=Topic.DESIRED_STATE, revision=revision, documents=(copy,)),
        origin="source",
    )
    assert not register.is_evacuated("a")
