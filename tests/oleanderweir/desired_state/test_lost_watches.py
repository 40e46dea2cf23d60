from __future__ import annotations

import random

import trio
import trio.testing

from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import HistoryLostError
from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.desired_state import StateFollower
from tests.oleanderweir.desired_state.fake_source import FakeSource
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.following import TOPIC
from tests.oleanderweir.desired_state.following import make_listing


async def test_other_watches_are_checked_once_the_process_becomes_a_reader(
    autojump_clock: trio.testing.MockClock,
) -> None:
    status = ReaderStatus(should_read=False)
    source = FakeSource(make_listing(10))
    follower = StateFollower(
        topic=TOPIC,
        source=source,
        register=make_register(),
        status=status,
        reader_status=status,
        on_changes=lambda changes, base: None,
        random_source=random.Random(1),
    )
    checked_after: list[int] = []
    follower.on_watch_lost = lambda: checked_after.append(len(source.calls))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(1)
        assert checked_after == []
        status.should_read = True
        await trio.sleep(1)
        nursery.cancel_scope.cancel()

    assert source.calls == ["list", "watch 10"]
    assert checked_after == [1]


async def test_a_lost_history_is_told_before_the_topic_is_listed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(make_listing(10), HistoryLostError("restored"))
    follower = StateFollower(
        topic=TOPIC,
        source=source,
        register=make_register(),
        status=ReaderStatus(),
        reader_status=ReaderStatus(),
        on_changes=lambda changes, base: None,
        random_source=random.Random(1),
    )
    told_after: list[list[str]] = []
    follower.on_watch_lost = lambda: told_after.append(list(source.calls))

    with trio.move_on_after(1):
        await follower.run()

    assert told_after == [["list", "watch 10"]]


async def test_other_watches_are_checked_once_a_failed_source_answers_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    down = SourceUnavailableError("connection silent")
    quiet = Changes(topic=TOPIC, revision=10, changes=())
    source = FakeSource(make_listing(10), quiet, down, down, quiet, quiet)
    follower = StateFollower(
        topic=TOPIC,
        source=source,
        register=make_register(),
        status=ReaderStatus(),
        reader_status=ReaderStatus(),
        on_changes=lambda changes, base: None,
        random_source=random.Random(1),
    )
    checked_after: list[int] = []
    follower.on_watch_lost = lambda: checked_after.append(len(source.calls))

    with trio.move_on_after(5):
        await follower.run()

    assert checked_after == [5]
