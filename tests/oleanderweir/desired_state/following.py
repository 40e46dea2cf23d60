from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import StateFollower
from oleanderweir.desired_state import Topic
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register


if TYPE_CHECKING:
    from tests.oleanderweir.desired_state.fake_source import FakeSource


TOPIC = Topic.BACKEND_SERVERS


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
