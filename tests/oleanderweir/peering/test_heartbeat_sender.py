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
from oleanderweir.peering.heartbeat_sender import READER_PATIENCE_S
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import StateUpdate
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import FakeSocket


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import StateClient


OWN_HOST = "10.0.0.1"
PEER = "10.0.0.9"


class FakeStateClient:
    """Hands out one list, and counts how often it is asked."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, Topic]] = []
        self.listing: Listing | None = None

    async def fetch(self, host: str, topic: Topic) -> Listing:
        self.asked.append((host, topic))
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
    backends_revision: int = 0,
    reads_source: bool = False,
) -> Heartbeat:
    return Heartbeat(
        role=role,
        availability_zone="a",
        service="",
        desired_revision=0,
        backends_revision=backends_revision,
        balancers=(),
        agents=(),
        wants_answer=False,
        reads_source=reads_source,
    )


def removal(name: str, revision: int) -> Change:
    return Change(name=name, revision=revision, document=None)


async def test_a_peer_that_is_ahead_is_asked_for_its_state(
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
        bench.heartbeat_sender.take(PEER, make_heartbeat(backends_revision=12), nursery)

    assert bench.client.asked == [(PEER, Topic.BACKEND_SERVERS)]
    assert "b1" in bench.register.backends


async def test_a_change_that_was_passed_on_is_applied_without_asking() -> None:
    bench = HeartbeatSenderBench()
    backends = {"b1": backend_document(host="10.0.0.5")}
    publish(bench.register, backends=backends, revision=10)

    update = StateUpdate(base=10, revision=11, name="b1", document=None)
    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.take_update(PEER, update, nursery)

    assert bench.register.backends == {}
    assert bench.client.asked == []


async def test_a_change_after_a_missed_one_makes_the_process_ask_for_all(
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
        bench.heartbeat_sender.take_update(PEER, update, nursery)

    assert bench.client.asked == [(PEER, Topic.BACKEND_SERVERS)]
    assert bench.register.backends == {}


async def test_changes_go_to_every_member_with_their_base() -> None:
    bench = HeartbeatSenderBench()
    bench.members.note(PEER, make_heartbeat())
    changes = Changes(
        topic=Topic.BACKEND_SERVERS,
        revision=12,
        changes=(removal("b1", 11), removal("b2", 12)),
    )

    bench.heartbeat_sender.pass_on(changes, base=10)

    sent = [decode_message(data) for data, _ in bench.socket.pop_sent()]
    assert sent == [
        StateUpdate(base=10, revision=11, name="b1", document=None),
        StateUpdate(base=11, revision=12, name="b2", document=None),
    ]


async def test_an_agent_stops_reading_once_a_balancer_reads() -> None:
    bench = HeartbeatSenderBench(role=PeerRole.AGENT)
    bench.heartbeat_sender.choose_reader()
    assert bench.status.should_read

    bench.members.note(PEER, make_heartbeat(reads_source=True))
    bench.heartbeat_sender.choose_reader()

    assert not bench.status.should_read


async def test_published_agents_hear_of_a_new_balancer_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.heartbeat_sender.run)
        await trio.sleep(0.5)
        bench.members.note("10.0.0.5", make_heartbeat(role=PeerRole.AGENT))
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


async def test_a_process_that_starts_leaves_reading_to_those_that_read(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for role in PeerRole:
        bench = HeartbeatSenderBench(role=role)
        readers = [f"10.0.1.{number}" for number in range(1, 90)]
        for host in readers:
            bench.members.note(host, make_heartbeat(reads_source=True))

        await run_for(bench, 1.5)

        assert not bench.status.should_read


async def test_a_process_that_hears_no_reader_reads_after_a_while(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for role in PeerRole:
        bench = HeartbeatSenderBench(role=role)
        await run_for(bench, 0.01)
        assert not bench.status.should_read

        await run_for(bench, READER_PATIENCE_S[role] + HEARTBEAT_INTERVAL_S + 0.1)

        assert bench.status.should_read


async def test_a_new_reader_tells_the_others_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    bench.status.is_connected = True
    bench.members.note(PEER, make_heartbeat(role=PeerRole.AGENT))

    await run_for(bench, READER_PATIENCE_S[PeerRole.BALANCER] + 0.3)

    heartbeats = [
        decode_message(data)
        for data, address in bench.socket.pop_sent()
        if address[0] == PEER
    ]
    assert any(isinstance(it, Heartbeat) and it.reads_source for it in heartbeats)
