from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import make_position
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register


HOST = "10.0.0.1"


def restored(revision: int) -> int:
    """Return a position in the history after a restore."""
    return make_position(history=1, revision=revision)


def make_document(
    state: str = "ready", *, started_at_ms: int = 1000, sequence: int
) -> bytes:
    return backend_document(
        host=HOST, state=state, started_at_ms=started_at_ms, sequence=sequence
    )


def write(register: StateRegister, document: bytes | None, *, revision: int) -> None:
    """Apply one change of the backend server ``b1``."""
    change = Change(name="b1", revision=revision, document=document)
    changes = Changes(topic=Topic.BACKEND_SERVERS, revision=revision, changes=(change,))
    register.apply_changes(changes, origin="test")


def list_documents(
    register: StateRegister, *, revision: int, **documents: bytes
) -> None:
    """Apply a listing of documents by name."""
    changes = tuple(
        Change(name=name, revision=revision, document=document)
        for name, document in documents.items()
    )
    listing = Listing(topic=Topic.BACKEND_SERVERS, revision=revision, documents=changes)
    register.apply_listing(listing, origin="test")


async def test_a_draining_backend_server_is_not_ready_again_after_a_restore() -> None:
    register = make_register()
    write(register, make_document("draining", sequence=4), revision=10)

    position = restored(8)
    list_documents(register, revision=position, b1=make_document(sequence=3))

    assert register.backends["b1"].state is BackendState.DRAINING
    # Peers get the record in force.
    [change] = register.export(Topic.BACKEND_SERVERS).documents
    assert change.document == make_document("draining", sequence=4)
    assert register.revision(Topic.BACKEND_SERVERS) == position


async def test_an_older_record_in_a_change_is_ignored() -> None:
    register = make_register()
    write(register, make_document("draining", sequence=4), revision=10)

    write(register, make_document(sequence=3), revision=20)

    assert register.backends["b1"].state is BackendState.DRAINING


async def test_a_new_start_counts_anew() -> None:
    register = make_register()
    write(register, make_document("draining", sequence=40), revision=10)

    write(register, make_document(started_at_ms=2000, sequence=1), revision=11)
    write(register, make_document("draining", sequence=41), revision=12)

    assert register.backends["b1"].state is BackendState.READY


async def test_a_restart_after_the_clock_was_set_back_is_applied() -> None:
    register = make_register()
    write(
        register, make_document("draining", started_at_ms=5000, sequence=9), revision=10
    )

    write(register, make_document(started_at_ms=2000, sequence=1), revision=11)

    assert register.backends["b1"].state is BackendState.READY


async def test_a_missed_restart_after_the_clock_was_set_back_is_applied() -> None:
    register = make_register()
    write(
        register, make_document("draining", started_at_ms=5000, sequence=9), revision=10
    )

    # As fetched from a peer.
    document = make_document(started_at_ms=2000, sequence=1)
    list_documents(register, revision=12, b1=document)

    assert register.backends["b1"].state is BackendState.READY


async def test_a_removed_backend_server_returns_after_its_clock_was_set_back() -> None:
    register = make_register()
    write(register, make_document(started_at_ms=5000, sequence=9), revision=10)
    write(register, None, revision=11)

    write(register, make_document(started_at_ms=2000, sequence=1), revision=12)

    assert "b1" in register.backends


async def test_a_clock_that_was_set_back_delays_no_restart_after_a_restore() -> None:
    register = make_register()
    write(
        register, make_document("draining", started_at_ms=5000, sequence=9), revision=10
    )
    document = make_document(started_at_ms=2000, sequence=1)
    # The copy may be from before the record in force, and its listing is repeated.
    copied = Change(name="b1", revision=restored(5), document=document)
    for revision in (8, 9):
        listing = Listing(
            topic=Topic.BACKEND_SERVERS,
            revision=restored(revision),
            documents=(copied,),
        )
        register.apply_listing(listing, origin="test")
        assert register.backends["b1"].state is BackendState.DRAINING

    write(
        register, make_document(started_at_ms=2000, sequence=2), revision=restored(10)
    )

    assert register.backends["b1"].state is BackendState.READY


async def test_a_replaced_start_does_not_return_from_a_copy() -> None:
    register = make_register()
    write(
        register, make_document("draining", started_at_ms=5000, sequence=9), revision=10
    )
    write(register, make_document(started_at_ms=2000, sequence=1), revision=11)

    copied = make_document("draining", started_at_ms=5000, sequence=9)
    list_documents(register, revision=restored(10), b1=copied)

    assert register.backends["b1"].state is BackendState.READY


async def test_a_running_start_that_a_copy_seemed_to_replace_is_applied_again() -> None:
    # This process missed the start of 5000, which the clock then went back before.
    register = make_register()
    write(register, make_document(started_at_ms=2000, sequence=1), revision=11)
    copied = make_document(started_at_ms=5000, sequence=9)
    list_documents(register, revision=restored(10), b1=copied)

    draining = make_document("draining", started_at_ms=2000, sequence=2)
    write(register, draining, revision=restored(11))

    assert register.backends["b1"].state is BackendState.DRAINING


async def test_a_change_from_before_the_listed_record_is_ignored() -> None:
    # A listing of several pages may show changes that the watch delivers again.
    register = make_register()
    listed = Change(
        name="b1",
        revision=12,
        document=make_document(started_at_ms=2000, sequence=1),
    )
    listing = Listing(topic=Topic.BACKEND_SERVERS, revision=10, documents=(listed,))
    register.apply_listing(listing, origin="test")

    earlier = make_document("draining", started_at_ms=5000, sequence=9)
    write(register, earlier, revision=11)

    assert register.backends["b1"].state is BackendState.READY


async def test_a_restart_after_the_clock_was_set_back_is_a_new_start(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    write(register, make_document(started_at_ms=5000, sequence=9), revision=10)
    await trio.sleep(1)
    moment = trio.current_time()

    await trio.sleep(1)
    write(
        register,
        make_document("draining", started_at_ms=5000, sequence=10),
        revision=11,
    )
    assert not register.has_started_since(HOST, moment)
    write(register, make_document(started_at_ms=2000, sequence=1), revision=12)

    assert register.has_started_since(HOST, moment)


async def test_a_record_without_a_known_start_is_not_older() -> None:
    register = make_register()
    write(register, make_document(started_at_ms=0, sequence=40), revision=10)

    document = make_document("draining", started_at_ms=0, sequence=1)
    write(register, document, revision=11)

    assert register.backends["b1"].state is BackendState.DRAINING


async def test_a_removed_backend_server_does_not_return_with_an_older_record(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    write(register, make_document("draining", sequence=4), revision=10)
    write(register, None, revision=11)
    await trio.sleep(5)

    list_documents(register, revision=20, b1=make_document(sequence=3))

    assert register.backends == {}
    assert register.export(Topic.BACKEND_SERVERS).documents == ()


async def test_a_removal_is_forgotten_after_a_minute(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    write(register, make_document(sequence=4), revision=10)
    write(register, None, revision=11)
    list_documents(register, revision=12, b1=make_document(sequence=3))
    await trio.sleep(61)

    list_documents(register, revision=20, b1=make_document(sequence=3))

    assert "b1" in register.backends


@pytest.mark.parametrize("sequence", [4, 5])
async def test_a_backend_server_that_a_restore_lost_returns_when_it_writes_again(
    sequence: int,
) -> None:
    register = make_register()
    list_documents(register, revision=10, b1=make_document(sequence=4))
    list_documents(register, revision=20)
    assert register.backends == {}

    # Its last write may be repeated as it was.
    write(register, make_document(sequence=sequence), revision=21)

    assert "b1" in register.backends


async def test_a_removed_record_does_not_return_where_another_backend_has_started() -> (
    None
):
    register = make_register()
    write(register, make_document(sequence=4), revision=10)
    write(register, None, revision=11)
    successor = make_document(started_at_ms=2000, sequence=1)
    list_documents(register, revision=12, b2=successor)

    list_documents(register, revision=restored(20), b1=make_document(sequence=4))

    assert register.backends == {}


async def test_an_ignored_record_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    register = make_register()
    write(register, make_document(sequence=4), revision=10)

    for revision in (20, 30):
        list_documents(register, revision=revision, b1=make_document(sequence=3))

    ignored = [r for r in caplog.records if vars(r).get("code") == "state_ignored"]
    assert [(vars(r)["found"], vars(r)["in_force"]) for r in ignored] == [
        ("1000/3", "1000/4")
    ]


async def test_an_invalid_document_is_logged_once_and_older_records_stay_ignored(
    caplog: pytest.LogCaptureFixture,
) -> None:
    register = make_register()
    write(register, make_document(sequence=4), revision=10)
    for revision in (11, 12):
        list_documents(register, revision=revision, b1=b"{")

    write(register, make_document(sequence=3), revision=20)

    assert register.backends == {}
    invalid = [r for r in caplog.records if vars(r).get("code") == "invalid_document"]
    assert len(invalid) == 1


async def test_a_removal_grace_starts_anew_with_each_restore(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # What runs is written again within two seconds of the store's return.
    register = make_register()
    write(register, make_document(sequence=1), revision=10)
    list_documents(register, revision=make_position(history=1, revision=5))
    await trio.sleep(2.0)
    list_documents(register, revision=make_position(history=2, revision=4))
    await trio.sleep(1.9)

    assert not register.is_host_removed(HOST, now=trio.current_time())


async def test_what_was_read_before_a_restore_changes_nothing_after_it() -> None:
    register = make_register()
    list_documents(register, revision=restored(8), b1=make_document(sequence=3))
    before = register.export(Topic.BACKEND_SERVERS)

    list_documents(register, revision=90)
    write(register, make_document("draining", sequence=2), revision=91)
    write(register, None, revision=92)

    assert register.export(Topic.BACKEND_SERVERS) == before
