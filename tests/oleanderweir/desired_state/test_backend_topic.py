from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import make_position
from tests.oleanderweir.desired_state.backend_changes import HOST
from tests.oleanderweir.desired_state.backend_changes import list_documents
from tests.oleanderweir.desired_state.backend_changes import make_document
from tests.oleanderweir.desired_state.backend_changes import restored
from tests.oleanderweir.desired_state.backend_changes import write
from tests.oleanderweir.desired_state.fakes import make_register


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
