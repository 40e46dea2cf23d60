from __future__ import annotations

import trio
import trio.testing

from oleanderweir_standins.store_contents import StoreContents


def make_contents(*keys: str) -> StoreContents:
    contents = StoreContents()
    for key in keys:
        contents.write(key, {})
    return contents


async def test_a_restore_returns_to_an_earlier_revision() -> None:
    contents = make_contents("a", "b")
    revision = contents.revision
    contents.write("a", {"changed": True})
    contents.remove("b")
    contents.write("c", {})

    lost = contents.restore(revision)

    assert lost == {"a", "b", "c"}
    assert contents.revision == revision
    assert contents.entries == make_contents("a", "b").entries
    assert contents.era == 2


async def test_revisions_are_given_out_again_after_a_restore() -> None:
    contents = make_contents("a", "b")
    contents.restore(contents.revision - 1)

    contents.write("c", {})

    events = contents.events_after(contents.revision - 1, "")
    assert [event["Key"] for event in events] == ["c"]
    assert contents.revision == make_contents("a", "b").revision


async def test_a_restored_store_has_no_history_after_its_revision() -> None:
    contents = make_contents("a", "b")
    last = contents.revision

    contents.restore(last - 1)

    assert not contents.can_watch_after(last)
    assert contents.can_watch_after(last - 1)


async def test_a_restore_to_a_revision_before_a_compaction_keeps_the_watch() -> None:
    contents = make_contents("a", "b")
    contents.compact()

    contents.restore(contents.revision - 1)

    assert contents.can_watch_after(contents.revision)


async def test_each_time_has_the_revision_of_the_last_change_before_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    contents = StoreContents()
    start, initial = trio.current_time(), contents.revision
    await trio.sleep(1)
    contents.write("a", {})
    await trio.sleep(1)
    contents.write("b", {})

    assert contents.revision_at(start) == initial
    assert contents.revision_at(start + 1.5) == initial + 1
    assert contents.revision_at(start + 2) == initial + 2
