from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import HistoryLostError
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.error_barrier import unexpected_errors
from tests.oleanderweir.desired_state.fake_source import FakeSource
from tests.oleanderweir.desired_state.following import TOPIC
from tests.oleanderweir.desired_state.following import follow
from tests.oleanderweir.desired_state.following import make_listing


async def test_a_topic_is_listed_once_and_then_watched(
    autojump_clock: trio.testing.MockClock,
) -> None:
    removal = Change(name="b1", revision=12, document=None)
    changes = Changes(topic=TOPIC, revision=12, changes=(removal,))
    source = FakeSource(make_listing(10), changes)

    reported = await follow(source)

    assert source.calls == ["list", "watch 10", "watch 12"]
    assert reported == [changes]


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


async def test_a_process_that_should_not_read_only_lists_the_topic(
    autojump_clock: trio.testing.MockClock,
) -> None:
    source = FakeSource(make_listing(10))

    await follow(source, should_read=False)

    assert source.calls == ["list"]


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


@pytest.mark.unexpected_errors
async def test_an_unexpected_error_of_a_call_is_retried_with_backoff(
    autojump_clock: trio.testing.MockClock,
) -> None:
    errors = [RecursionError("maximum recursion depth exceeded")] * 3
    source = FakeSource(*errors, make_listing(10))

    await follow(source)

    assert source.calls == ["list"] * 4 + ["watch 10"]
    assert unexpected_errors == {"source_backend_servers": 3}
