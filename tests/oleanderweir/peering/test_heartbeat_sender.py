from __future__ import annotations

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.peering.heartbeat_sender import HEARTBEAT_INTERVAL_S
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.reader_choice import READER_DELAY_S
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench
from tests.oleanderweir.peering.heartbeat_bench import make_heartbeat


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

    messages = bench.pop_messages(PEER)
    assert any(
        isinstance(message, Heartbeat) and message.reads_source for message in messages
    )


async def test_heartbeats_tell_the_version_in_force_not_that_of_the_source(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    bench.members.record_heartbeat(PEER, make_heartbeat())
    publish(bench.register, version=7, revision=20)
    publish(bench.register, version=5, revision=30)

    await run_for(bench, 0.05)

    messages = bench.pop_messages(PEER)
    assert [m.desired_version for m in messages if isinstance(m, Heartbeat)] == [7]


async def test_a_reader_announces_a_new_version_at_once() -> None:
    for is_reader in (True, False):
        bench = HeartbeatSenderBench()
        bench.status.should_read = is_reader
        bench.members.record_heartbeat(PEER, make_heartbeat())
        publish(bench.register, version=7, revision=20)

        bench.heartbeat_sender.on_state_change(Topic.DESIRED_STATE)

        versions = [
            message.desired_version
            for message in bench.pop_messages(PEER)
            if isinstance(message, Heartbeat)
        ]
        assert versions == ([7] if is_reader else [])
