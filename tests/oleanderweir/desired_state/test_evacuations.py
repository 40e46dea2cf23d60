from __future__ import annotations

import itertools

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import make_position
from tests.oleanderweir.desired_state.fakes import EVACUATION_PREFIX
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import desired_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.desired_state.fakes import withdrawal_change


def list_orders(register: StateRegister, *changes: Change, revision: int) -> None:
    listing = Listing(topic=Topic.DESIRED_STATE, revision=revision, documents=changes)
    register.apply_listing(listing, origin="source")


def copy_position(revision: int) -> int:
    """Return the position of a revision after the source has been restored."""
    return make_position(history=1, revision=revision)


async def test_a_zone_is_evacuated_until_the_order_is_withdrawn(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    assert register.evacuated_zones == {"a"}
    assert register.is_evacuated("a")
    assert register.evacuation_ended_at("a") is None

    await trio.sleep(7)
    apply_orders(register, withdrawal_change("a", revision=11))

    assert not register.is_evacuated("a")
    assert register.evacuation_ended_at("a") == trio.current_time()
    apply_orders(register, order_change("a", revision=12))
    assert register.is_evacuated("a")
    assert register.evacuation_ended_at("a") is None


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
async def test_the_last_write_of_each_zone_wins_in_any_order(
    order: tuple[int, ...],
) -> None:
    changes = [
        order_change("a", revision=10),
        withdrawal_change("a", revision=12),
        order_change("b", revision=11),
        order_change("a", revision=14),
    ]
    register = make_register()

    for index in order:
        apply_orders(register, changes[index])
        apply_orders(register, changes[index])

    assert register.evacuated_zones == {"a", "b"}
    apply_orders(register, withdrawal_change("a", revision=13))
    assert register.is_evacuated("a")


async def test_a_listing_withdraws_the_orders_that_it_lacks() -> None:
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    apply_orders(register, order_change("b", revision=25))

    list_orders(register, revision=25)

    assert register.evacuated_zones == set()


async def test_a_listing_withdraws_no_order_that_was_written_after_it() -> None:
    register = make_register()
    late = order_change("a", revision=30)
    list_orders(register, late, revision=20)

    list_orders(register, revision=21)

    assert register.is_evacuated("a")


async def test_an_older_listing_changes_no_order() -> None:
    register = make_register()
    list_orders(register, order_change("b", revision=15), revision=20)

    list_orders(register, order_change("a", revision=10), revision=12)

    assert register.evacuated_zones == {"b"}


async def test_orders_and_routes_are_independent() -> None:
    register = make_register()
    publish(register, version=5, revision=20)
    apply_orders(register, order_change("a", revision=21))

    desired = desired_document(4, {1: "feed"})
    list_orders(
        register,
        Change(name="desired", revision=22, document=desired),
        order_change("a", revision=21),
        revision=22,
    )

    assert register.version == 5
    assert register.is_evacuated("a")


async def test_a_process_that_lists_a_peers_state_has_its_orders() -> None:
    register, peer = make_register(), make_register()
    publish(peer, version=5, revision=20)
    apply_orders(peer, order_change("a", revision=21))

    register.apply_listing(peer.export(Topic.DESIRED_STATE), origin="10.0.0.9")

    assert register.version == 5
    assert register.is_evacuated("a")
    apply_orders(peer, withdrawal_change("a", revision=22))
    register.apply_listing(peer.export(Topic.DESIRED_STATE), origin="10.0.0.9")
    assert not register.is_evacuated("a")


async def test_a_withdrawn_order_of_an_older_copy_stays_withdrawn() -> None:
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    apply_orders(register, withdrawal_change("a", revision=40))

    # The copy is from before the withdrawal; it is listed twice.
    for revision in (20, 24):
        copied = order_change("a", revision=copy_position(10))
        list_orders(register, copied, revision=copy_position(revision))
        assert not register.is_evacuated("a")

    apply_orders(register, order_change("a", revision=copy_position(25)))
    assert register.is_evacuated("a")


async def test_an_order_that_a_copy_lacks_can_be_written_anew() -> None:
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    list_orders(register, revision=copy_position(8))
    assert not register.is_evacuated("a")

    # The source gives out the revision again.
    again = order_change("a", revision=copy_position(10))
    list_orders(register, again, revision=copy_position(11))

    assert register.is_evacuated("a")


async def test_an_invalid_order_is_logged_once_and_withdraws_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    register = make_register()
    publish(register, version=5, revision=9)
    apply_orders(register, order_change("a", revision=10))

    for revision in (11, 12):
        odd = Change(name=EVACUATION_PREFIX + "a", revision=11, document=b"{")
        list_orders(register, odd, revision=revision)

    assert register.is_evacuated("a")
    assert register.version == 5
    logged = [r for r in caplog.records if vars(r).get("code") == "invalid_document"]
    assert len(logged) == 1


async def test_orders_and_withdrawals_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    register = make_register()

    apply_orders(register, order_change("a", revision=10))
    apply_orders(register, withdrawal_change("a", revision=11))

    codes = [vars(r).get("code") for r in caplog.records if hasattr(r, "zone")]
    assert codes == ["evacuation_ordered", "evacuation_withdrawn"]
