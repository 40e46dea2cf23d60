from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.desired_state import BackendState
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


async def test_an_older_listing_is_ignored() -> None:
    register = make_register()
    publish(register, version=7, revision=20)

    publish(register, version=5, revision=10)

    assert register.version == 7
    assert register.revision(Topic.DESIRED_STATE) == 20


async def test_a_lower_version_at_a_higher_revision_is_ignored() -> None:
    register = make_register()
    publish(register, version=7, revision=20)

    publish(register, version=6, revision=30)

    assert register.version == 7


async def test_a_removal_removes_the_backend_server() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    register.apply_changes(
        change_backends(Change(name="b1", revision=11, document=None), revision=11),
        origin="test",
    )

    assert register.backends == {}
    assert "10.0.0.1" in register.removed_at


async def test_changes_up_to_the_known_revision_are_ignored() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    register.apply_changes(
        change_backends(Change(name="b1", revision=9, document=None), revision=9),
        origin="test",
    )

    assert "b1" in register.backends
    assert register.revision(Topic.BACKEND_SERVERS) == 10


async def test_an_invalid_document_removes_its_backend_server() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    invalid = Change(name="b1", revision=11, document=b"\xff")
    register.apply_changes(change_backends(invalid, revision=11), origin="test")

    assert register.backends == {}


async def test_the_desired_state_stays_in_force_if_a_newer_one_is_invalid() -> None:
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


async def test_the_changed_revision_is_that_of_the_newest_change() -> None:
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


async def test_a_listing_of_several_pages_announces_no_change_that_a_fetch_lacks() -> (
    None
):
    register = make_register()
    later = Change(name="b2", revision=11, document=backend_document(host="10.0.0.2"))

    register.apply_listing(
        Listing(topic=Topic.BACKEND_SERVERS, revision=9, documents=(later,)),
        origin="source",
    )

    exported = register.export(Topic.BACKEND_SERVERS)
    assert register.changed_revision(Topic.BACKEND_SERVERS) <= exported.revision


async def test_a_listing_without_a_known_backend_server_is_a_newer_change() -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    publish(register, backends={}, revision=50)

    # Peers that still know it learn that they are behind.
    assert register.changed_revision(Topic.BACKEND_SERVERS) == 50


async def test_a_host_counts_as_removed_after_the_grace_period(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)
    await trio.sleep(10)
    removal = Change(name="b1", revision=11, document=None)
    register.apply_changes(change_backends(removal, revision=11), origin="test")

    def is_removed() -> bool:
        return register.is_host_removed("10.0.0.1", now=trio.current_time())

    assert not is_removed()
    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    assert is_removed()

    readded = Change(name="b1", revision=12, document=backend_document(host="10.0.0.1"))
    register.apply_changes(change_backends(readded, revision=12), origin="test")
    assert not is_removed()


async def test_an_unknown_host_counts_as_removed_after_the_grace_period(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    assert not register.is_host_removed("10.0.0.9", now=trio.current_time())
    publish(register, backends={"b1": backend_document(host="10.0.0.1")}, revision=10)

    assert not register.is_host_removed("10.0.0.9", now=trio.current_time())
    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    assert register.is_host_removed("10.0.0.9", now=trio.current_time())


def list_desired(document: bytes, *, revision: int) -> Listing:
    change = Change(name="desired", revision=revision, document=document)
    return Listing(topic=Topic.DESIRED_STATE, revision=revision, documents=(change,))


async def test_a_higher_version_at_a_lower_revision_comes_into_force() -> None:
    register = make_register()
    publish(register, version=7, revision=20)

    newer = desired_document(9, {1: "feed", 2: "feed"})
    register.apply_listing(list_desired(newer, revision=10), origin="peer")

    assert register.version == 9
    # The own watch goes on from where it was.
    assert register.revision(Topic.DESIRED_STATE) == 20


async def test_a_higher_version_in_a_change_of_a_lower_revision_comes_into_force() -> (
    None
):
    register = make_register()
    publish(register, version=7, revision=20)

    document = desired_document(9, {1: "feed"})
    change = Change(name="desired", revision=15, document=document)
    changes = Changes(topic=Topic.DESIRED_STATE, revision=15, changes=(change,))
    register.apply_changes(changes, origin="test")

    assert register.version == 9


@pytest.mark.parametrize("document", [desired_document(5, {1: "feed"}), b"{"])
async def test_an_older_or_invalid_document_is_not_exported_to_peers(
    document: bytes,
) -> None:
    register = make_register()
    publish(register, version=7, revision=20)
    in_force = register.export(Topic.DESIRED_STATE).documents

    register.apply_listing(list_desired(document, revision=30), origin="source")

    assert register.export(Topic.DESIRED_STATE).documents == in_force
    # Changes since are watched nevertheless.
    assert register.revision(Topic.DESIRED_STATE) == 30


async def test_an_ignored_document_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    register = make_register()
    publish(register, version=7, revision=20)

    for revision in (30, 31, 32):
        publish(register, version=5, revision=revision)

    ignored = [r for r in caplog.records if vars(r).get("code") == "state_ignored"]
    assert [(vars(r)["found"], vars(r)["in_force"]) for r in ignored] == [(5, 7)]


# Guards against flows at the address of a lost backend server that is used again.
async def test_an_address_belongs_to_the_service_that_started_there_last() -> None:
    register = make_register()
    lost = backend_document(host="10.0.0.1", started_at_ms=5000)
    # Its clock was set back.
    new = backend_document(host="10.0.0.1", service="archive", started_at_ms=2000)
    publish(register, backends={"b1": lost}, revision=10)
    assert [record.identifier for record in register.backends_of("feed")] == ["b1"]

    register.apply_changes(
        change_backends(Change(name="b2", revision=11, document=new), revision=11),
        origin="test",
    )

    assert register.backends_of("feed") == []
    assert [record.identifier for record in register.backends_of("archive")] == ["b2"]


# Guards against a copy of an entry under another key that hides a drain.
@pytest.mark.parametrize("names", [("b1", "b2"), ("b2", "b1")])
async def test_of_two_records_of_one_start_the_later_count_decides(
    names: tuple[str, str],
) -> None:
    register = make_register()
    copy = backend_document(host="10.0.0.1", sequence=3)
    draining = backend_document(host="10.0.0.1", state="draining", sequence=4)
    publish(register, backends=dict(zip(names, (copy, draining), strict=True)))

    record = register.backend_at("10.0.0.1", 8080)

    assert record is not None
    assert record.state is BackendState.DRAINING
    assert register.backends_of("feed") == [record]
