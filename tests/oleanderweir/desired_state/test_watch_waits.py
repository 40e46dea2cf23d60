from __future__ import annotations

import random

import trio
import trio.testing

from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.desired_state import StateFollower
from oleanderweir.desired_state import Topic
from tests.oleanderweir.desired_state.fake_source import FakeSource
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.following import TOPIC
from tests.oleanderweir.desired_state.following import follow
from tests.oleanderweir.desired_state.following import make_listing


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
