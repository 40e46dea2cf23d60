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
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish


def list_orders(register: StateRegister, *changes: Change, revision: int) -> None:
    listing = Listing(topic=Topic.DESIRED_STATE, revision=revision, documents=changes)
    register.apply_listing(listing, origin="source")


def copy_position(revision: int) -> int:
    """Return the position of a revision after the source has been restored."""
    return make_position(history=1, revision=revision)


async def test_a_zone_is_evacuated_until_the_order_is_withdrawn(
    autojump_clock: trio.testing.MockClock, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    assert register.evacuated_zones == {"a"}
    await trio.sleep(7)
    apply_orders(register, order_change("a", revision=11, document=None))
    assert not register.is_evacuated("a")
    assert register.evacuation_ended_at("a") == trio.current_time()

    apply_orders(register, order_change("a", revision=12))

    assert register.is_evacuated("a")
    assert register.evacuation_ended_at("a") is None
    codes = [vars(r)["code"] for r in caplog.records if hasattr(r, "zone")]
    names = ("ordered", "withdrawn", "ordered")
    assert codes == [f"evacuation_{name}" for name in names]


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
async def test_the_last_write_of_each_zone_wins_in_any_order(
    order: tuple[int, ...],
) -> None:
    changes = [
        order_change("a", revision=10),
        order_change("a", revision=12, document=None),
        order_change("b", revision=11),
        order_change("a", revision=14),
    ]
    register = make_register()
    for index in order:
        apply_orders(register, changes[index])

    apply_orders(register, order_change("a", revision=13, document=None))

    assert register.evacuated_zones == {"a", "b"}


async def test_a_listing_withdraws_older_orders_that_it_lacks() -> None:
    register = make_register()
    publish(register, version=5, revision=19)
    late = order_change("b", revision=30)
    list_orders(register, order_change("a", revision=10), late, revision=20)
    list_orders(register, order_change("c", revision=9), revision=12)
    assert register.evacuated_zones == {"a", "b"}

    list_orders(register, revision=21)

    assert register.evacuated_zones == {"b"}
    assert register.version == 5


async def test_a_withdrawn_order_of_an_older_copy_stays_withdrawn() -> None:
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    apply_orders(register, order_change("a", revision=40, document=None))
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


# It was written before the process started, or is overwritten meanwhile.
@pytest.mark.parametrize("is_known", [False, True])
async def test_an_order_with_an_invalid_value_is_logged_once_and_in_force(
    is_known: bool, caplog: pytest.LogCaptureFixture
) -> None:
    register = make_register()
    if is_known:
        apply_orders(register, order_change("a", revision=10))

    for revision in (11, 12):
        odd = order_change("a", revision=11, document=b"{")
        list_orders(register, odd, revision=revision)

    assert register.is_evacuated("a")
    codes = [vars(r).get("code") for r in caplog.records]
    assert codes.count("invalid_document") == 1
    apply_orders(register, order_change("a", revision=13, document=None))
    assert not register.is_evacuated("a")


async def test_an_order_that_was_written_twice_stays_withdrawn_in_an_older_copy() -> (
    None
):
    register = make_register()
    apply_orders(register, order_change("a", revision=10))
    apply_orders(register, order_change("a", revision=15))
    apply_orders(register, order_change("a", revision=20, document=None))

    copied = order_change("a", revision=copy_position(10))
    list_orders(register, copied, revision=copy_position(13))

    assert not register.is_evacuated("a")


async def test_backend_servers_of_an_evacuated_zone_are_left_out() -> None:
    register = make_register()
    documents = {
        name: backend_document(host=f"10.0.0.{number}", availability_zone=name)
        for number, name in enumerate("ab", 1)
    }
    publish(register, backends=documents)
    apply_orders(register, order_change("a", revision=30))

    assert [r.availability_zone for r in register.unevacuated_backends_of("feed")] == [
        "b"
    ]
