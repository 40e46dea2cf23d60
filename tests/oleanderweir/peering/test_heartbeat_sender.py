from __future__ import annotations

import pytest
import trio

from oleanderweir.desired_state import Topic
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.reader_choice import READER_DELAY_S
from oleanderweir.rendezvous import score
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench
from tests.oleanderweir.peering.heartbeat_bench import make_confirmation
from tests.oleanderweir.peering.heartbeat_bench import make_heartbeat


async def test_an_agent_stops_reading_once_a_balancer_confirms_its_state() -> None:
    bench = HeartbeatSenderBench(role=PeerRole.AGENT)
    bench.heartbeat_sender.update_reader_status()
    assert bench.status.should_read

    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.on_confirmation(PEER, make_confirmation(), nursery)
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


async def confirm_again_and_again(
    bench: HeartbeatSenderBench,
    hosts: list[str],
    confirmation: Confirmation,
) -> None:
    while True:
        for host in hosts:
            bench.heartbeat_sender.confirmations.on_confirmation(host, confirmation)
        await trio.sleep(1.4)


async def test_a_starting_process_does_not_read_while_others_do(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for role in PeerRole:
        bench = HeartbeatSenderBench(role=role)
        readers = [f"10.0.1.{number}" for number in range(1, 90)]
        for host in readers:
            bench.members.record_heartbeat(host, make_heartbeat(reads_source=True))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                confirm_again_and_again, bench, readers, make_confirmation()
            )

            await run_for(bench, 9.5)

            nursery.cancel_scope.cancel()
        assert not bench.status.should_read


async def test_a_process_without_readers_reads_after_the_delay(
    autojump_clock: trio.testing.MockClock,
) -> None:
    delays_s = {PeerRole.BALANCER: READER_DELAY_S + 0.2, PeerRole.AGENT: 4.5}
    for role in PeerRole:
        bench = HeartbeatSenderBench(role=role)
        await run_for(bench, 0.01)
        assert not bench.status.should_read

        await run_for(bench, delays_s[role])

        assert bench.status.should_read


# Guards against readers that announce changes that this process doesn't get.
async def test_a_process_reads_that_lacks_the_state_which_readers_confirm(
    autojump_clock: trio.testing.MockClock,
) -> None:
    readers = [f"10.0.1.{number}" for number in range(1, 90)]
    for confirmation in (
        make_confirmation(backends_revision=20),
        make_confirmation(desired_version=7),
    ):
        for role in PeerRole:
            bench = HeartbeatSenderBench(role=role)
            publish(bench.register, version=6, revision=19)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    confirm_again_and_again, bench, readers, confirmation
                )

                await run_for(bench, 4.5)

                nursery.cancel_scope.cancel()
            assert bench.status.should_read


async def test_a_process_reads_after_a_standstill_until_its_state_is_proved(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench(role=PeerRole.AGENT)
    sender = bench.heartbeat_sender
    reads: list[bool] = []

    def check() -> None:
        sender.update_reader_status()
        reads.append(bench.status.should_read)

    sender.confirmations.on_confirmation(PEER, make_confirmation())
    check()
    sender.on_standstill()
    check()
    for topic in Topic:
        sender.on_source_response(topic, trio.current_time())
    # One proof is enough, at once.
    reads.append(bench.status.should_read)

    assert reads == [False, True, False]


# Guards against a reader that waits for the answer of a dead connection.
async def test_a_reader_whose_state_is_not_proved_repeats_its_watches_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    interruptions: list[float] = []
    bench.heartbeat_sender.on_unproved = lambda: interruptions.append(
        trio.current_time()
    )
    bench.status.should_read = True
    for topic in Topic:
        bench.heartbeat_sender.on_source_response(topic, 0.0)

    await run_for(bench, 10.0)

    # It becomes a reader within a second.
    lapses = [moment for moment in interruptions if moment > READER_DELAY_S]
    assert len(lapses) == 1
    assert lapses[0] < 2.6


async def test_a_new_reader_sends_heartbeats_to_its_members_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = HeartbeatSenderBench()
    bench.status.is_connected = True
    bench.members.record_heartbeat(PEER, make_heartbeat(role=PeerRole.AGENT))

    await run_for(bench, READER_DELAY_S + 0.3)

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
        bench.heartbeat_sender.reader_choice.is_distributor = is_reader
        bench.members.record_heartbeat(PEER, make_heartbeat())
        publish(bench.register, version=7, revision=20)

        bench.heartbeat_sender.on_state_change(Topic.DESIRED_STATE)

        versions = [
            message.desired_version
            for message in bench.pop_messages(PEER)
            if isinstance(message, Heartbeat)
        ]
        assert versions == ([7] if is_reader else [])


async def test_only_a_reader_confirms_its_state_once_both_topics_are_proved() -> None:
    for is_reader in (True, False):
        bench = HeartbeatSenderBench()
        bench.heartbeat_sender.reader_choice.is_distributor = is_reader
        bench.members.record_heartbeat(PEER, make_heartbeat())
        bench.heartbeat_sender.on_source_response(Topic.DESIRED_STATE, 1.0)
        assert bench.pop_messages(PEER) == []

        bench.heartbeat_sender.on_source_response(Topic.BACKEND_SERVERS, 2.0)

        sent = bench.pop_messages(PEER)
        assert [type(message) for message in sent] == [Confirmation] * is_reader


@pytest.mark.parametrize(("before", "delay_s"), [(2, 0.0), (3, 0.3), (6, 0.6)])
async def test_balancers_take_over_in_the_order_of_their_rank(
    autojump_clock: trio.testing.MockClock, before: int, delay_s: float
) -> None:
    bench = HeartbeatSenderBench()
    own_rank = rank_of(bench.members.own_host)
    others = [f"10.0.1.{number}" for number in range(1, 90)]
    for host in [host for host in others if rank_of(host) < own_rank][:before]:
        bench.members.record_heartbeat(host, make_heartbeat())
    choice = bench.heartbeat_sender.reader_choice
    started_at = trio.current_time()
    while not choice.is_distributor:
        choice.update(age_s=READER_DELAY_S)
        await trio.sleep(0.01)

    assert trio.current_time() - started_at == pytest.approx(delay_s, abs=0.03)


def rank_of(host: str) -> bytes:
    return score(host, purpose="reader")


@pytest.mark.unexpected_errors
async def test_an_error_in_the_choice_of_readers_ends_no_heartbeats(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    bench = HeartbeatSenderBench()
    bench.members.record_heartbeat(PEER, make_heartbeat())
    monkeypatch.setattr(bench.heartbeat_sender.reader_choice, "next_check_s", "broken")

    await run_for(bench, 5.0)

    assert len(bench.pop_messages(PEER)) >= 2


# Guards against a reader whose long watch of the desired state goes on.
@pytest.mark.parametrize("is_waiting", [True, False])
async def test_a_new_reader_repeats_its_watches_unless_its_follower_does(
    *, is_waiting: bool
) -> None:
    bench = HeartbeatSenderBench()
    interruptions: list[None] = []
    bench.heartbeat_sender.on_unproved = lambda: interruptions.append(None)
    bench.status.should_read = False
    bench.status.is_waiting = is_waiting
    for topic in Topic:
        bench.heartbeat_sender.on_source_response(topic, trio.current_time())

    bench.heartbeat_sender.update_reader_status()

    assert bench.heartbeat_sender.reader_choice.is_distributor
    assert len(interruptions) == (not is_waiting)
