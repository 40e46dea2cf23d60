from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import HistoryLostError
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.desired_state import StateFollower
from oleanderweir.desired_state import Topic
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register


if TYPE_CHECKING:
    import pytest


TOPIC = Topic.BACKEND_SERVERS


class FakeSource:
    """Returns or raises scripted results in turn; blocks forever after the last."""

    def __init__(self, *script: Listing | Changes | Exception) -> None:
        self.script = list(script)
        self.calls: list[str] = []
        self.called_at: list[float] = []
        self.waits: list[float] = []

    async def list(self, topic: Topic) -> Listing:
        result = await self._next("list")
        assert isinstance(result, Listing)
        return result

    async def watch(self, topic: Topic, *, after: int, wait_s: float) -> Changes:
        self.waits.append(wait_s)
        result = await self._next(f"watch {after}")
        assert isinstance(result, Changes)
        return result

    async def _next(self, call: str) -> Listing | Changes:
        self.calls.append(call)
        self.called_at.append(trio.current_time())
        if not self.script:
            await trio.sleep_forever()
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def make_listing(revision: int) -> Listing:
    document = backend_document(host="10.0.0.1")
    change = Change(name="b1", revision=revision, document=document)
    return Listing(topic=TOPIC, revision=revision, documents=(change,))


async def follow(source: FakeSource, *, should_read: bool = True) -> list[Changes]:
    """Follow for ten seconds of virtual time; return the reported changes."""
    reported = await follow_with_bases(source, should_read=should_read)
    return [changes for changes, _ in reported]


async def follow_with_bases(
    source: FakeSource, *, should_read: bool = True
) -> list[tuple[Changes, int]]:
    """Follow for ten seconds of virtual time; return changes with their bases."""
    reported: list[tuple[Changes, int]] = []
    follower = StateFollower(
        topic=TOPIC,
        source=source,
        register=make_register(),
        status=ReaderStatus(should_read=should_read),
        reader_status=ReaderStatus(should_read=should_read),
        on_changes=lambda changes, base: reported.append((changes, base)),
        random_source=random.Random(1),
    )
    with trio.move_on_after(10):
        await follower.run()
    return reported


async def test_a_topic_is_listed_once_and_then_watched(
    autojump_clock: trio.testing.MockClock,
) -> None:
    removal = Change(name="b1", revision=12, document=None)
    changes = Changes(topic=TOPIC, revision=12, changes=(removal,))
    source = FakeSource(make_listing(10), changes)

    reported = await follow(source)

    assert source.calls == ["list", "watch 10", "watch 12"]
    assert reported == [changes]


async def test_the_topic_is_listed_again_after_a_compaction(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(
        make_listing(10), HistoryLostError("history compacted"), make_listing(30)
    )

    await follow(source)

    assert source.calls == ["list", "watch 10", "list", "watch 30"]


async def test_a_history_that_is_lost_again_and_again_is_listed_with_backoff(
    autojump_clock: trio.testing.MockClock,
) -> None:
    lost = HistoryLostError("history compacted")
    source = FakeSource(*(make_listing(10), lost) * 500)

    await follow(source)

    # With the maximum backoff and jitter, listings are at least half a second apart.
    assert 8 <= source.calls.count("list") <= 24


async def test_a_history_lost_after_a_successful_watch_is_listed_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    lost = HistoryLostError("history compacted")
    quiet = Changes(topic=TOPIC, revision=10, changes=())
    source = FakeSource(make_listing(10), *(lost, make_listing(10), quiet) * 9)
    started_at = trio.current_time()

    await follow(source)

    assert source.calls.count("list") == 10
    assert source.called_at[-1] == started_at


async def test_each_loss_of_history_is_logged(
    autojump_clock: trio.testing.MockClock, caplog: pytest.LogCaptureFixture
) -> None:
    lost = HistoryLostError("history compacted")
    await follow(FakeSource(make_listing(10), lost, make_listing(30)))

    [record] = [r for r in caplog.records if vars(r).get("code") == "history_lost"]
    assert vars(record)["topic"] == TOPIC.value
    assert vars(record)["revision"] == 10


async def test_a_failing_source_is_retried_with_backoff(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(*[SourceUnavailableError("down") for _ in range(100)])

    await follow(source)

    # With the maximum backoff and jitter, calls are at least half a second apart.
    assert 8 <= len(source.calls) <= 24


async def test_a_process_that_should_not_read_only_lists_the_topic(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(make_listing(10))

    await follow(source, should_read=False)

    assert source.calls == ["list"]


async def test_an_unanswered_watch_of_backend_servers_ends_within_four_seconds(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(make_listing(10))

    await follow(source)

    # The client waits two more seconds for the response.
    assert source.waits[0] + 2.0 < 4.0


async def test_every_watch_of_a_reader_is_shorter_than_those_of_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    waits: list[float] = []
    for is_reader in (True, False):
        source = FakeSource(make_listing(10))
        follower = StateFollower(
            topic=Topic.DESIRED_STATE,
            source=source,
            register=make_register(),
            status=ReaderStatus(),
            reader_status=ReaderStatus(should_read=is_reader),
            on_changes=lambda changes, base: None,
            random_source=random.Random(1),
        )
        with trio.move_on_after(10):
            await follower.run()
        waits += source.waits

    # The client waits two more seconds for the response.
    assert waits[0] + 2.0 < 4.0
    assert waits[0] < waits[1]


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


async def test_changes_in_quick_succession_are_batched(
    autojump_clock: trio.testing.MockClock,
) -> None:
    script = [
        Changes(
            topic=TOPIC,
            revision=revision,
            changes=(Change(name="b1", revision=revision, document=None),),
        )
        for revision in range(11, 200)
    ]
    source = FakeSource(make_listing(10), *script)

    await follow(source)

    # At least a fifth of a second passes between calls, over ten seconds.
    assert len(source.calls) <= 52


async def test_the_first_watch_after_a_failure_is_shorter_than_later_ones(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(
        SourceUnavailableError("down"),
        make_listing(10),
        SourceUnavailableError("down"),
        Changes(topic=TOPIC, revision=10, changes=()),
    )

    await follow(source)

    assert source.waits[1] < source.waits[2]


async def test_an_interrupted_watch_is_repeated_with_a_short_wait(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(make_listing(10))
    follower = StateFollower(
        topic=TOPIC,
        source=source,
        register=make_register(),
        status=ReaderStatus(),
        reader_status=ReaderStatus(),
        on_changes=lambda changes, base: None,
        random_source=random.Random(1),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(1)
        follower.interrupt_watch()
        await trio.sleep(1)
        nursery.cancel_scope.cancel()

    assert source.calls == ["list", "watch 10", "watch 10"]
    assert source.waits[1] < source.waits[0]


async def test_no_removal_that_only_a_listing_shows_is_missed_by_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # b2 is removed while this process doesn't read; b1 is written again later.
    kept, gone = (
        Change(name=name, revision=revision, document=backend_document(host=host))
        for name, revision, host in (("b1", 5, "10.0.0.1"), ("b2", 8, "10.0.0.2"))
    )
    draining = backend_document(host="10.0.0.1", state="draining", sequence=2)
    written = Change(name="b1", revision=21, document=draining)
    source = FakeSource(
        Listing(topic=TOPIC, revision=20, documents=(kept,)),
        Changes(topic=TOPIC, revision=21, changes=(written,)),
    )
    peer = make_register()
    known = Listing(topic=TOPIC, revision=8, documents=(kept, gone))
    peer.apply_listing(known, origin="test")

    [(_, base)] = await follow_with_bases(source)

    # The peer must not take the change for the next one after its own.
    assert base > peer.revision(TOPIC)


async def test_a_change_between_the_pages_of_a_listing_is_not_withheld_from_peers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # b1 drains after the first page was read at 9, and b2 before the second page.
    ready, draining = (
        backend_document(host="10.0.0.1", state=state, sequence=sequence)
        for state, sequence in (("ready", 1), ("draining", 2))
    )
    other = Change(
        name="b2", revision=11, document=backend_document(host="10.0.0.2", sequence=2)
    )
    source = FakeSource(
        Listing(
            topic=TOPIC,
            revision=9,
            documents=(Change(name="b1", revision=3, document=ready), other),
        ),
        Changes(
            topic=TOPIC,
            revision=11,
            changes=(Change(name="b1", revision=10, document=draining), other),
        ),
    )

    [(changes, base)] = await follow_with_bases(source)

    # Changes up to the base are not sent.
    assert base < changes.changes[0].revision


async def test_a_quiet_source_leaves_no_gap_for_peers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    removals = [Change(name=f"b{n}", revision=n, document=None) for n in (12, 31)]
    source = FakeSource(
        make_listing(10),
        Changes(topic=TOPIC, revision=12, changes=(removals[0],)),
        # Revisions of other topics.
        Changes(topic=TOPIC, revision=30, changes=()),
        Changes(topic=TOPIC, revision=31, changes=(removals[1],)),
    )

    reported = await follow_with_bases(source)

    assert [base for _, base in reported] == [10, 12, 12]


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
