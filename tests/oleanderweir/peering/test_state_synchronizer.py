from __future__ import annotations

import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import StateUpdate
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import desired_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench
from tests.oleanderweir.peering.heartbeat_bench import make_heartbeat


def removal(name: str, revision: int) -> Change:
    return Change(name=name, revision=revision, document=None)


async def test_newer_state_is_fetched_from_a_peer_that_is_ahead(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    document = backend_document(host="10.0.0.5")
    bench.client.listing = Listing(
        topic=Topic.BACKEND_SERVERS,
        revision=12,
        documents=(Change(name="b1", revision=12, document=document),),
    )

    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.on_heartbeat(
            PEER, make_heartbeat(backends_revision=12), nursery
        )

    assert bench.client.requests == [(PEER, Topic.BACKEND_SERVERS)]
    assert "b1" in bench.register.backends


async def test_a_change_from_a_reader_is_applied_without_a_fetch() -> None:
    bench = HeartbeatSenderBench()
    backends = {"b1": backend_document(host="10.0.0.5")}
    publish(bench.register, backends=backends, revision=10)

    update = StateUpdate(base=10, revision=11, name="b1", document=None)
    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.synchronizer.on_state_update(PEER, update, nursery)

    assert bench.register.backends == {}
    assert bench.client.requests == []


async def test_a_change_after_a_missed_one_makes_the_process_fetch_the_topic(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    backends = {"b1": backend_document(host="10.0.0.5")}
    publish(bench.register, backends=backends, revision=10)
    bench.client.listing = Listing(
        topic=Topic.BACKEND_SERVERS, revision=13, documents=()
    )

    update = StateUpdate(base=12, revision=13, name="b2", document=None)
    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.synchronizer.on_state_update(PEER, update, nursery)

    assert bench.client.requests == [(PEER, Topic.BACKEND_SERVERS)]
    assert bench.register.backends == {}


async def test_changes_are_sent_to_each_member_with_their_base_revision() -> None:
    bench = HeartbeatSenderBench()
    bench.members.record_heartbeat(PEER, make_heartbeat())
    changes = Changes(
        topic=Topic.BACKEND_SERVERS,
        revision=12,
        changes=(removal("b1", 11), removal("b2", 12)),
    )

    bench.heartbeat_sender.synchronizer.send_changes(changes, base=10)

    sent = [decode_message(data) for data, _ in bench.socket.pop_sent()]
    assert sent == [
        StateUpdate(base=10, revision=11, name="b1", document=None),
        StateUpdate(base=11, revision=12, name="b2", document=None),
    ]


def list_desired(version: int, *, revision: int) -> Listing:
    document = desired_document(version, {1: "feed"})
    change = Change(name="desired", revision=revision, document=document)
    return Listing(topic=Topic.DESIRED_STATE, revision=revision, documents=(change,))


async def test_a_higher_version_is_fetched_from_a_peer_with_a_lower_revision(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # As after a restore of the source that only this process has read since.
    bench = HeartbeatSenderBench()
    publish(bench.register, version=5, revision=900)
    bench.client.listing = list_desired(7, revision=20)

    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.on_heartbeat(
            PEER, make_heartbeat(desired_version=7), nursery
        )

    assert bench.register.version == 7
    assert bench.register.revision(Topic.DESIRED_STATE) == 900


async def test_a_lower_version_is_not_fetched_from_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    publish(bench.register, version=7, revision=20)

    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.on_heartbeat(
            PEER, make_heartbeat(desired_version=5), nursery
        )

    assert bench.client.requests == []
