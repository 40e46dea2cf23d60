from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import Topic
from oleanderweir.peering import HeartbeatSender
from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.heartbeat_sender import HEARTBEAT_INTERVAL_S
from oleanderweir.peering.heartbeat_sender import READER_DELAY_S
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import StateUpdate
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import desired_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import FakeSocket


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import StateClient


OWN_HOST = "10.0.0.1"
PEER = "10.0.0.9"


class FakeStateClient:
    """Returns one listing, and records the requests for it."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, Topic]] = []
        self.listing: Listing | None = None

    async def fetch(self, host: str, topic: Topic) -> Listing:
        self.requests.append((host, topic))
        assert self.listing is not None
        return self.listing


class HeartbeatSenderBench:
    def __init__(self, *, role: PeerRole = PeerRole.BALANCER) -> None:
        self.socket = FakeSocket()
        self.register = make_register()
        self.members = Members(own_host=OWN_HOST)
        self.client = FakeStateClient()
        self.status = ReaderStatus()
        self.heartbeat_sender = HeartbeatSender(
            role=role,
            availability_zone="a",
            service="",
            port=7720,
            seeds=("10.0.0.2",),
            socket=cast("UdpSocket", self.socket),
            members=self.members,
            register=self.register,
            client=cast("StateClient", self.client),
            status=self.status,
            random_source=random.Random(1),
        )


def make_heartbeat(
    *,
    role: PeerRole = PeerRole.BALANCER,
    desired_version: int = 0,
    backends_revision: int = 0,
    reads_source: bool = False,
) -> Heartbeat:
    return Heartbeat(
        role=role,
        availability_zone="a",
        service="",
        desired_version=desired_version,
        backends_revision=backends_revision,
        balancers=(),
        agents=(),
        requests_reply=False,
        reads_source=reads_source,
    )


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
        bench.heartbeat_sender.on_state_update(PEER, update, nursery)

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
        bench.heartbeat_sender.on_state_update(PEER, update, nursery)

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

    bench.heartbeat_sender.send_changes(changes, base=10)

    sent = [decode_message(data) for data, _ in bench.socket.pop_sent()]
    assert sent == [
        StateUpdate(base=10, revision=11, name="b1", document=None),
        StateUpdate(base=11, revision=12, name="b2", document=None),
    ]


async def test_an_agent_stops_reading_once_a_balancer_reads() -> None:
    bench = HeartbeatSenderBench(role=PeerRole.AGENT)
    bench.heartbeat_sender.update_reader_status()
    assert bench.status.should_read

    bench.members.record_heartbeat(PEER, make_heartbeat(reads_source=True))
    bench.heartbeat_sender.update_reader_status()

    assert not bench.status.should_read


async def test_a_new_balancer_sends_heartbeats_to_published_agents_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.heartbeat_sender.run)
        await trio.sleep(0.5)
        bench.members.record_heartbeat("10.0.0.5", make_heartbeat(role=PeerRole.AGENT))
        await trio.sleep(0.3)
        backends = {
            "b1": backend_document(host="10.0.0.5"),
            "b2": backend_document(host="10.0.0.6"),
        }
        publish(bench.register, backends=backends, revision=10)
        bench.socket.pop_sent()
        await trio.sleep(0.25)
        nursery.cancel_scope.cancel()

    assert "10.0.0.6" in {address[0] for _, address in bench.socket.pop_sent()}


async def run_for(bench: HeartbeatSenderBench, seconds: float) -> None:
    with trio.move_on_after(seconds):
        await bench.heartbeat_sender.run()


async def test_a_starting_process_does_not_read_while_others_do(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for role in PeerRole:
        bench = HeartbeatSenderBench(role=role)
        readers = [f"10.0.1.{number}" for number in range(1, 90)]
        for host in readers:
            bench.members.record_heartbeat(host, make_heartbeat(reads_source=True))

        await run_for(bench, 1.5)

        assert not bench.status.should_read


async def test_a_process_without_readers_reads_after_the_delay(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for role in PeerRole:
        bench = HeartbeatSenderBench(role=role)
        await run_for(bench, 0.01)
        assert not bench.status.should_read

        await run_for(bench, READER_DELAY_S[role] + HEARTBEAT_INTERVAL_S + 0.1)

        assert bench.status.should_read


async def test_a_new_reader_sends_heartbeats_to_its_members_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    bench.status.is_connected = True
    bench.members.record_heartbeat(PEER, make_heartbeat(role=PeerRole.AGENT))

    await run_for(bench, READER_DELAY_S[PeerRole.BALANCER] + 0.3)

    messages = [
        decode_message(data)
        for data, address in bench.socket.pop_sent()
        if address[0] == PEER
    ]
    assert any(
        isinstance(message, Heartbeat) and message.reads_source for message in messages
    )


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


async def test_heartbeats_tell_the_version_in_force_not_that_of_the_source(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    bench.members.record_heartbeat(PEER, make_heartbeat())
    publish(bench.register, version=7, revision=20)
    publish(bench.register, version=5, revision=30)

    await run_for(bench, 0.05)

    messages = [
        decode_message(data)
        for data, address in bench.socket.pop_sent()
        if address[0] == PEER
    ]
    assert [m.desired_version for m in messages if isinstance(m, Heartbeat)] == [7]
