from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from tests.oleanderweir.desired_state.backend_changes import HOST
from tests.oleanderweir.desired_state.backend_changes import list_documents
from tests.oleanderweir.desired_state.backend_changes import make_document
from tests.oleanderweir.desired_state.backend_changes import restored
from tests.oleanderweir.desired_state.backend_changes import write
from tests.oleanderweir.desired_state.fakes import make_register


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


async def test_a_running_start_that_a_copy_seemed_to_replace_is_applied_again() -> None:
    # This process missed the start of 5000, which the clock then went back before.
    register = make_register()
    write(register, make_document(started_at_ms=2000, sequence=1), revision=11)
    copied = make_document(started_at_ms=5000, sequence=9)
    list_documents(register, revision=restored(10), b1=copied)

    draining = make_document("draining", started_at_ms=2000, sequence=2)
    write(register, draining, revision=restored(11))

    assert register.backends["b1"].state is BackendState.DRAINING
