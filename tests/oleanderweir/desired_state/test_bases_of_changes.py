from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from tests.oleanderweir.desired_state.fake_source import FakeSource
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.following import TOPIC
from tests.oleanderweir.desired_state.following import follow_with_bases
from tests.oleanderweir.desired_state.following import make_listing


if TYPE_CHECKING:
    import trio.testing


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
