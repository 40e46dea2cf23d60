from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import desired_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import publish


def change_backends(*changes: Change, revision: int) -> Changes:
    return Changes(topic=Topic.BACKEND_SERVERS, revision=revision, changes=changes)


async def test_an_older_list_changes_nothing() -> None:
    register = make_register()
    publish(register, version=7, revision=20)

    publish(register, version=5, revision=10)

    assert register.version == 7
    assert register.revision(Topic.DESIRED_STATE) == 20


async def test_a_lower_version_under_a_higher_revision_never_takes_effect() -> None:
    register = make_register()
    publish(register, version=7, revision=20)

    publish(register, version=6, revision=30)

    assert register.version == 7


async def test_a_removal_drops_the_backend_server() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    register.apply_changes(
        change_backends(Change(name="b1", revision=11, document=None), revision=11),
        origin="test",
    )

    assert register.backends == {}
    assert "10.0.0.1" in register.removed_at


async def test_changes_that_are_known_already_are_passed_over() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    register.apply_changes(
        change_backends(Change(name="b1", revision=9, document=None), revision=9),
        origin="test",
    )

    assert "b1" in register.backends
    assert register.revision(Topic.BACKEND_SERVERS) == 10


async def test_a_document_that_cannot_be_read_names_no_backend_server() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    broken = Change(name="b1", revision=11, document=b"\xff")
    register.apply_changes(change_backends(broken, revision=11), origin="test")

    assert register.backends == {}


async def test_an_unreadable_desired_state_leaves_the_old_one_in_force() -> None:
    register = make_register()
    publish(register, version=7, revision=20)

    register.apply_listing(
        Listing(
            topic=Topic.DESIRED_STATE,
            revision=30,
            documents=(Change(name="desired", revision=30, document=b"{"),),
        ),
        origin="test",
    )

    assert register.version == 7


async def test_the_newest_change_is_told_apart_from_the_revision_read() -> None:
    register = make_register()
    document = desired_document(3, {1: "feed"})

    register.apply_listing(
        Listing(
            topic=Topic.DESIRED_STATE,
            revision=50,
            documents=(Change(name="desired", revision=12, document=document),),
        ),
        origin="test",
    )

    assert register.revision(Topic.DESIRED_STATE) == 50
    assert register.changed_revision(Topic.DESIRED_STATE) == 12


async def test_a_host_is_gone_once_nothing_was_published_there_for_a_while(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)
    await trio.sleep(10)
    removal = Change(name="b1", revision=11, document=None)
    register.apply_changes(change_backends(removal, revision=11), origin="test")

    def is_gone() -> bool:
        return register.is_host_removed("10.0.0.1", now=trio.current_time())

    assert not is_gone()
    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    assert is_gone()

    back = Change(name="b1", revision=12, document=backend_document(host="10.0.0.1"))
    register.apply_changes(change_backends(back, revision=12), origin="test")
    assert not is_gone()


async def test_a_host_that_was_never_published_is_gone_only_after_a_while(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    assert not register.is_host_removed("10.0.0.9", now=trio.current_time())
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    assert not register.is_host_removed("10.0.0.9", now=trio.current_time())
    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    assert register.is_host_removed("10.0.0.9", now=trio.current_time())
