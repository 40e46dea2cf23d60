from __future__ import annotations

import itertools
import logging

import pytest

from oleanderweir.tickets import Entry
from oleanderweir.tickets import InvalidSnapshotError
from oleanderweir.tickets import Snapshot
from oleanderweir.tickets import TicketRegister
from tests.oleanderweir.tickets.values import backend_server_entry
from tests.oleanderweir.tickets.values import service_entry
from tests.oleanderweir.tickets.values import service_key
from tests.oleanderweir.tickets.values import tombstone


def register_with(*entries: Entry, floor: int = 0) -> TicketRegister:
    register = TicketRegister()
    register.merge(entries)
    register.raise_floor(floor)
    return register


def test_every_order_of_arrival_leads_to_the_same_state() -> None:
    entries = [
        service_entry(3),
        service_entry(3, port=444),
        tombstone(5),
        service_entry(7, port=445),
        service_entry(4, name="boletin"),
    ]

    digests = {
        register_with(*order, *order[:2]).digest()
        for order in itertools.permutations(entries)
    }

    assert len(digests) == 1


def test_merge_returns_only_entries_that_come_into_force() -> None:
    register = register_with(service_entry(3))

    changed = register.merge(
        [service_entry(2), service_entry(3), service_entry(4), tombstone(3)]
    )

    assert changed == (service_entry(4),)
    assert register.merge(changed) == ()
    assert register.highest_ticket == 4


def test_conflict_has_one_winner_and_is_reported(
    caplog: pytest.LogCaptureFixture,
) -> None:
    one = service_entry(3)
    other = service_entry(3, port=444)

    with caplog.at_level(logging.ERROR):
        winners = [
            register_with(*order).entry(service_key())
            for order in ((one, other), (other, one))
        ]

    assert winners[0] == winners[1]
    assert "publish the correct one under a new number" in caplog.text


def test_digest_depends_on_content_only() -> None:
    register = register_with(service_entry(3), service_entry(4, name="boletin"))
    before = register.digest()

    register.merge([service_entry(5)])
    register.merge([tombstone(6, name="boletin")])
    register.raise_floor(7)

    assert register.digest() != before
    assert register.digest() == register_with(service_entry(5)).digest()


def test_stale_peer_does_not_resurrect_a_collected_key() -> None:
    register = register_with(service_entry(5), tombstone(8), floor=10)

    assert register.entry(service_key()) is None
    assert register.merge([service_entry(5)]) == ()
    assert register.merge([service_entry(10)]) == (service_entry(10),)


def test_snapshot_removes_a_key_whose_tombstone_is_collected() -> None:
    stale = register_with(service_entry(5), service_entry(6, name="boletin"))
    snapshot = Snapshot(
        floor=10, highest_ticket=12, entries=(service_entry(6, name="boletin"),)
    )

    changed = stale.merge_snapshot(snapshot)

    assert changed == (tombstone(9),)
    assert stale.floor == 10
    assert stale.merge([service_entry(5), tombstone(9)]) == ()


def test_stale_snapshot_changes_nothing() -> None:
    register = register_with(service_entry(12), service_entry(13, name="boletin"))
    register.raise_floor(10)
    before = register.digest()

    register.merge_snapshot(
        Snapshot(floor=3, highest_ticket=5, entries=(service_entry(5),))
    )

    assert register.digest() == before
    assert register.floor == 10
    assert register.highest_ticket == 13


def test_floor_is_adopted_where_content_agrees_and_repaired_elsewhere() -> None:
    current = register_with(service_entry(5), tombstone(8, name="boletin"), floor=10)
    stale = register_with(
        service_entry(5),
        tombstone(8, name="boletin"),
        service_entry(2, name="desk-link"),
    )

    differing = stale.adopt_floor(10, current.bucket_digests())

    assert differing == (service_key("desk-link").bucket,)
    for number in differing:
        stale.merge_bucket(number, floor=10, entries=current.bucket_entries(number))
    assert stale.digest() == current.digest()
    assert stale.floor == 10


def test_listeners_receive_changes_and_removed_keys() -> None:
    received: list[tuple[Entry, ...]] = []
    register = TicketRegister(listeners=[received.append])

    register.merge([service_entry(3)])
    register.merge([service_entry(3)])
    register.merge_snapshot(Snapshot(floor=5, highest_ticket=5, entries=()))

    assert received == [(service_entry(3),), (tombstone(4),)]


def test_snapshot_restores_an_equal_register() -> None:
    register = register_with(
        service_entry(11), tombstone(12, name="x"), backend_server_entry(4, name="h-1")
    )
    register.raise_floor(10)
    booted = TicketRegister()

    booted.merge_snapshot(register.snapshot())

    assert booted.digest() == register.digest()
    assert (booted.floor, booted.highest_ticket) == (10, 12)


@pytest.mark.parametrize(
    ("floor", "highest_ticket"),
    [(6, 5), (-1, 5), (0, 3)],
    ids=["floor-too-high", "negative-floor", "entry-too-new"],
)
def test_snapshot_rejects_inconsistencies(floor: int, highest_ticket: int) -> None:
    with pytest.raises(InvalidSnapshotError, match="publish"):
        Snapshot(
            floor=floor, highest_ticket=highest_ticket, entries=(service_entry(4),)
        )
