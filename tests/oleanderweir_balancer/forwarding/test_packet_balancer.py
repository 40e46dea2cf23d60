from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio
import trio.testing

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.desired_state import Topic
from oleanderweir.flows import LOOKUP_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import ReturnReason
from oleanderweir.peering.report_interval import MIN_SILENCE_S
from oleanderweir_balancer.forwarding.balancer_program import BalancerProgram
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench


if TYPE_CHECKING:
    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket


KEY = make_key(1)
OPENING = encode_packet(KEY, is_opening=True)
MIXED = {
    "b1": backend_document(host="10.0.0.1", service="feed"),
    "b2": backend_document(host="10.0.0.3", service="archive"),
}
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=77)


def make_agent_heartbeat(*, holds_no_flows: bool = False) -> Heartbeat:
    return Heartbeat(
        role=PeerRole.AGENT,
        availability_zone="a",
        service="feed",
        desired_version=0,
        backends_revision=0,
        balancers=(),
        agents=(),
        requests_reply=False,
        reads_source=False,
        holds_no_flows=holds_no_flows,
    )


class SilentSocket:
    """A socket that receives no datagrams."""

    async def receive_batch(self) -> list[Datagram]:
        await trio.sleep(float("inf"))
        return []


async def test_an_opening_packet_and_its_copies_go_to_one_agent() -> None:
    bench = BalancerBench()
    bench.publish()

    bench.balancer.on_caller_packet(OPENING)
    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=1))
    bench.balancer.on_caller_packet(REQUEST)

    sent = bench.deliveries()
    assert len({host for host, _ in sent}) == 1
    assert [message.purpose for _, message in sent] == [
        DeliveryPurpose.OPEN,
        DeliveryPurpose.OPEN,
        DeliveryPurpose.CONTINUE,
    ]


async def test_a_flow_without_a_route_is_reset_at_once() -> None:
    bench = BalancerBench()
    bench.publish()

    bench.balancer.on_caller_packet(
        encode_packet(make_key(1, route=9), is_opening=True)
    )

    [(data, (host, _))] = bench.resets()
    packet = EmulatedPacketCodec().decode_from_caller(data)
    assert packet is not None
    assert packet.is_reset
    assert host == "100.64.0.1"


async def test_nothing_is_reset_before_the_first_published_state() -> None:
    bench = BalancerBench()

    bench.balancer.on_caller_packet(OPENING)

    assert bench.socket.pop_sent() == []
    bench.publish()
    bench.balancer.on_state_change(next(iter(bench.register.topics)))
    assert len(bench.deliveries()) == 1


async def test_an_unknown_flow_is_looked_up_at_every_agent_of_its_service() -> None:
    bench = BalancerBench()
    bench.publish()

    bench.balancer.on_caller_packet(REQUEST)

    sent = bench.deliveries()
    assert {host for host, _ in sent} == {"10.0.0.1", "10.0.0.2"}
    assert {message.purpose for _, message in sent} == {DeliveryPurpose.QUERY}


async def test_packets_are_queued_until_the_owner_is_known() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    second = encode_packet(KEY, payload_bytes=10, sequence=900)
    bench.balancer.on_caller_packet(second)
    bench.deliveries()

    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))

    [(host, message)] = bench.deliveries()
    assert host == "10.0.0.2"
    assert message.data == second
    bench.balancer.on_caller_packet(REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.2"]


async def test_a_flow_is_reset_only_after_every_agent_denied_it() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    [(data, _)] = bench.resets()
    packet = EmulatedPacketCodec().decode_from_caller(data)
    assert packet is not None
    assert packet.sequence == 77


async def test_a_flow_is_looked_up_at_the_former_service_of_its_route() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.publish(version=2, revision=20, routes={1: "archive"}, backends=MIXED)

    bench.balancer.on_caller_packet(REQUEST)

    assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.3"}


async def test_a_flow_is_reset_only_after_agents_of_all_services_denied_it() -> None:
    bench = BalancerBench()
    bench.publish(routes={1: "archive"}, backends=MIXED)
    bench.balancer.on_caller_packet(REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.3"]

    bench.return_packet("10.0.0.3", ReturnReason.NOT_HELD, REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.1"]

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_an_agent_that_did_not_try_a_flow_is_queried_for_it() -> None:
    bench = BalancerBench()
    bench.publish(backends=MIXED)
    bench.balancer.on_caller_packet(OPENING)
    [(owner, _)] = bench.deliveries()
    bench.publish(version=2, revision=20, routes={1: "archive"}, backends=MIXED)
    # The agent was restarted, and the route now leads to another service.
    bench.return_packet(owner, ReturnReason.NOT_TRIED, REQUEST)

    queried = {
        host
        for host, message in bench.deliveries()
        if message.purpose is DeliveryPurpose.QUERY
    }
    assert owner in queried
    for host in queried - {owner}:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []


async def test_a_returned_opening_packet_goes_to_another_backend_server() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()

    bench.return_packet(first, ReturnReason.DRAINING, OPENING)

    [(second, message)] = bench.deliveries()
    assert second != first
    assert message.purpose is DeliveryPurpose.OPEN


async def test_the_third_agent_must_accept_after_two_busy_rejections() -> None:
    hosts = tuple(f"10.0.0.{n}" for n in range(1, 7))
    bench = BalancerBench(hosts=hosts)
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)

    tried = []
    purposes = []
    for _ in range(3):
        [(host, message)] = bench.deliveries()
        tried.append(host)
        purposes.append(message.purpose)
        bench.return_packet(host, ReturnReason.BUSY, OPENING)

    assert len(set(tried)) == 3
    assert purposes == [
        DeliveryPurpose.OPEN,
        DeliveryPurpose.OPEN,
        DeliveryPurpose.OPEN_EVEN_IF_BUSY,
    ]


async def test_a_busy_agent_must_accept_a_flow_if_all_agents_are_busy() -> None:
    bench = BalancerBench(hosts=("10.0.0.1",))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.BUSY, OPENING)

    [(host, message)] = bench.deliveries()
    assert host == "10.0.0.1"
    assert message.purpose is DeliveryPurpose.OPEN_EVEN_IF_BUSY


async def test_a_flow_that_all_agents_rejected_is_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    bench.return_packet(first, ReturnReason.FULL, OPENING)
    [(second, _)] = bench.deliveries()

    bench.return_packet(second, ReturnReason.FULL, OPENING)

    assert len(bench.resets()) == 1


async def test_a_silent_agent_gets_no_new_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.report("10.0.0.1")
    await trio.sleep(MIN_SILENCE_S + 0.1)
    bench.report("10.0.0.2")

    for number in range(20):
        bench.balancer.on_caller_packet(
            encode_packet(make_key(number), is_opening=True)
        )

    assert {host for host, _ in bench.deliveries()} == {"10.0.0.2"}


async def test_a_repeated_opening_packet_avoids_a_silent_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.report("10.0.0.1")
    bench.report("10.0.0.2")
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    await trio.sleep(MIN_SILENCE_S + 0.1)
    other = "10.0.0.2" if first == "10.0.0.1" else "10.0.0.1"
    bench.report(other)

    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=1))

    assert [host for host, _ in bench.deliveries()] == [other]


async def test_an_open_flow_is_looked_up_once_agents_are_known() -> None:
    bench = BalancerBench()
    bench.balancer.on_caller_packet(REQUEST)
    assert bench.deliveries() == []

    bench.publish()
    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)

    assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.2"}


async def test_a_new_flow_is_queued_until_backend_servers_are_listed() -> None:
    bench = BalancerBench()
    bench.publish()
    backends = bench.register.topics[Topic.BACKEND_SERVERS]
    backends.revision = 0
    bench.register.backends.clear()
    bench.register.by_service = None

    bench.balancer.on_caller_packet(OPENING)

    assert bench.resets() == []
    bench.publish(revision=20)
    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)
    assert len(bench.deliveries()) == 1


async def test_a_flow_is_reset_once_its_last_possible_owner_is_unpublished(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    bench.socket.pop_sent()
    remaining = {"b0": backend_document(host="10.0.0.1")}
    bench.publish(backends=remaining, revision=20)
    await trio.sleep(0.4)

    bench.balancer.on_caller_packet(REQUEST)

    assert len(bench.resets()) == 1


LARGE_FLEET = tuple(f"10.0.0.{n}" for n in range(1, 41))


async def test_in_a_large_fleet_the_lookup_is_delegated_to_the_likeliest_owner() -> (
    None
):
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()

    bench.balancer.on_caller_packet(REQUEST)

    # One datagram per lookup for any fleet size: small balancers have little bandwidth.
    [(delegate, message)] = bench.deliveries()
    assert [delegate] == candidate_hosts(KEY, LARGE_FLEET, count=1)
    assert message.purpose is DeliveryPurpose.DELEGATED_LOOKUP
    known = bench.register.changed_revision(Topic.BACKEND_SERVERS)
    assert message.version == known > 0
    bench.balancer.on_message(delegate, OwnerNotice(key=KEY, host="10.0.0.7"))
    bench.balancer.on_caller_packet(REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.7"]


async def test_an_opening_packet_goes_to_a_candidate_of_the_lookup() -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    for number in range(30):
        key = make_key(number)

        bench.balancer.on_caller_packet(encode_packet(key, is_opening=True))

        [(host, _)] = bench.deliveries()
        assert host in candidate_hosts(key, LARGE_FLEET, count=LOOKUP_CANDIDATES)


async def test_a_flow_without_an_owner_in_a_large_fleet_is_reset() -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(delegate, _)] = bench.deliveries()

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert len(bench.resets()) == 1


async def test_a_delegate_that_stays_silent_is_replaced(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _)] = bench.deliveries()
    await trio.sleep(0.2)

    bench.balancer.retry_lookups()

    [(second, _)] = bench.deliveries()
    assert [first, second] == candidate_hosts(KEY, LARGE_FLEET, count=2)


async def test_a_lost_query_is_repeated_without_another_packet(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    bench.deliveries()
    await trio.sleep(0.15)

    bench.balancer.retry_lookups()

    assert [host for host, _ in bench.deliveries()] == ["10.0.0.2"]


async def test_a_silent_unpublished_agent_does_not_delay_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    # The backend server of this agent crashed and is no longer published.
    bench.members.record_heartbeat("10.0.0.3", make_agent_heartbeat())
    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert len(bench.resets()) == 1


async def test_a_recently_unpublished_agent_delays_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat("10.0.0.3", make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_denials_before_the_first_listing_do_not_reset_a_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.members.record_heartbeat("10.0.0.1", make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.1"]

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []
    bench.publish()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}
    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_departed_agent_does_not_delay_a_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    bench.members.record_departure("10.0.0.2")

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert len(bench.resets()) == 1


async def test_an_unpublished_agent_without_flows_does_not_delay_a_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat(
        "10.0.0.3", make_agent_heartbeat(holds_no_flows=True)
    )
    bench.balancer.on_caller_packet(REQUEST)
    assert len(bench.deliveries()) == 3

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert len(bench.resets()) == 1


async def test_a_published_agent_delays_a_reset_even_without_flows() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat(
        "10.0.0.2", make_agent_heartbeat(holds_no_flows=True)
    )
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_an_agent_that_returned_after_its_departure_delays_a_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_departure("10.0.0.2")
    bench.members.record_activity("10.0.0.2")
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_a_mere_acknowledgement_is_looked_up_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    acknowledgement = encode_packet(KEY, is_acknowledging=True, acknowledged=77)
    bench.balancer.on_caller_packet(acknowledgement)
    queried = [host for host, _ in bench.deliveries()]
    await trio.sleep(0.5)
    bench.balancer.retry_lookups()
    assert bench.deliveries() == []

    for host in queried:
        bench.return_packet(host, ReturnReason.NOT_HELD, acknowledgement)

    assert bench.socket.pop_sent() == []
    bench.balancer.on_caller_packet(REQUEST)
    assert len(bench.deliveries()) == len(queried)


async def test_a_final_packet_is_looked_up_until_every_agent_has_denied(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    closing = encode_packet(KEY, is_final=True, acknowledged=77)
    bench.balancer.on_caller_packet(closing)
    queried = [host for host, _ in bench.deliveries()]
    await trio.sleep(0.5)
    bench.balancer.retry_lookups()
    assert [host for host, _ in bench.deliveries()] == queried

    for host in queried:
        assert bench.resets() == []
        bench.return_packet(host, ReturnReason.NOT_HELD, closing)

    assert len(bench.resets()) == 1


async def test_a_loss_reported_by_another_agent_than_the_owner_is_ignored() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))

    bench.return_packet("10.0.0.1", ReturnReason.LOST, REQUEST)

    [(host, message)] = bench.deliveries()
    assert host == "10.0.0.2"
    assert message.purpose is DeliveryPurpose.CONTINUE


async def test_a_loss_counts_as_a_denial_while_the_owner_is_unknown() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.LOST, REQUEST)
    assert bench.resets() == []

    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_the_program_retries_unanswered_lookups(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    program = BalancerProgram(
        balancer=bench.balancer,
        packet_socket=cast("UdpSocket", SilentSocket()),
        grace_s=6.0,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(program.run)
        bench.balancer.on_caller_packet(REQUEST)
        bench.deliveries()

        await trio.sleep(0.3)

        assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.2"}
        nursery.cancel_scope.cancel()


async def test_a_rejected_opening_packet_resets_no_flow_that_opened_meanwhile() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    bench.return_packet(first, ReturnReason.UNANSWERED, OPENING)
    [(second, _)] = bench.deliveries()
    # The first backend server answered late, and the caller acknowledged its answer.
    bench.balancer.on_caller_packet(REQUEST)
    bench.socket.pop_sent()

    bench.return_packet(second, ReturnReason.FULL, OPENING)

    assert bench.resets() == []


async def test_a_returned_copy_of_an_opening_packet_does_not_move_an_open_flow() -> (
    None
):
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(owner, _)] = bench.deliveries()
    copy = encode_packet(KEY, is_opening=True, acknowledged=1)
    bench.balancer.on_caller_packet(copy)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet(owner, ReturnReason.DRAINING, copy)

    assert bench.deliveries() == []
    bench.balancer.on_caller_packet(REQUEST)
    assert owner in {host for host, _ in bench.deliveries()}


async def test_a_late_negative_lookup_resets_no_flow_whose_owner_was_found(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _)] = bench.deliveries()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()
    bench.balancer.on_message(second, OwnerNotice(key=KEY, host="10.0.0.7"))
    bench.deliveries()

    bench.return_packet(first, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_restarted_backend_server_of_a_departed_agent_delays_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_departure("10.0.0.2")
    await trio.sleep(1.0)
    # Started and published after the departure; its agent's messages were lost.
    backends = {
        "b0": backend_document(host="10.0.0.1"),
        "b2": backend_document(host="10.0.0.2", started_at_ms=5000),
    }
    bench.publish(backends=backends, revision=20)
    bench.balancer.on_caller_packet(REQUEST)
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_an_old_report_of_no_flows_rules_no_lapsed_backend_server_out(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    # The agent started before its backend server listened.
    bench.members.record_heartbeat(
        "10.0.0.2", make_agent_heartbeat(holds_no_flows=True)
    )
    await trio.sleep(1.0)
    bench.publish()
    await trio.sleep(1.0)
    # The entry lapses while the source is away; the backend server serves on.
    bench.publish(backends={"b0": backend_document(host="10.0.0.1")}, revision=20)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_a_negative_lookup_of_the_owner_itself_is_no_denial_of_its_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _)] = bench.deliveries()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()
    # The first delegate is the owner, which the second one found.
    bench.balancer.on_message(second, OwnerNotice(key=KEY, host=first))
    bench.deliveries()

    bench.return_packet(first, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_late_opening_packet_does_not_move_an_open_flow_of_a_silent_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.report("10.0.0.1")
    bench.report("10.0.0.2")
    bench.balancer.on_caller_packet(OPENING)
    [(owner, _)] = bench.deliveries()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    await trio.sleep(MIN_SILENCE_S + 0.1)
    [other] = {"10.0.0.1", "10.0.0.2"} - {owner}
    bench.report(other)

    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=2))
    bench.deliveries()
    bench.balancer.on_caller_packet(REQUEST)

    assert {host for host, _ in bench.deliveries()} == {owner}


async def test_a_late_opening_packet_resets_no_open_flow_of_a_silent_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=("10.0.0.1",))
    bench.publish()
    bench.report("10.0.0.1")
    bench.balancer.on_caller_packet(OPENING)
    bench.balancer.on_caller_packet(REQUEST)
    await trio.sleep(MIN_SILENCE_S + 0.1)
    draining = backend_document(host="10.0.0.1", state="draining")
    bench.publish(backends={"b0": draining}, revision=20)
    bench.socket.pop_sent()

    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=2))

    assert bench.resets() == []


async def test_a_new_flow_from_a_port_used_before_is_placed_again_when_returned() -> (
    None
):
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    opening = encode_packet(KEY, is_opening=True, sequence=70000)
    bench.balancer.on_caller_packet(opening)
    [(former, _)] = bench.deliveries()

    bench.return_packet(former, ReturnReason.DRAINING, opening)

    assert {host for host, _ in bench.deliveries()} == {
        "10.0.0.1",
        "10.0.0.2",
    } - {former}


async def test_an_unreadable_entry_rules_its_backend_server_out_only_after_the_grace(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    # Another writer wrote the entry of a backend server that serves on.
    backends = {"b0": backend_document(host="10.0.0.1"), "b1": b"not JSON"}
    bench.publish(backends=backends, revision=20)
    bench.members.record_heartbeat("10.0.0.2", make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_a_request_behind_an_unanswered_acknowledgement_is_queried(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    # No backend server answers an acknowledgement, so that none proves its ownership.
    bench.balancer.on_caller_packet(
        encode_packet(KEY, is_acknowledging=True, acknowledged=77)
    )
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    await trio.sleep(0.15)

    bench.balancer.retry_lookups()

    assert REQUEST in {message.data for _, message in bench.deliveries()}


async def test_unanswered_opening_packets_reset_no_flow() -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)

    # Any of the backend servers may answer late; the caller's next packets may then
    # reach another balancer.
    for _ in range(3):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.UNANSWERED, OPENING)

    assert bench.resets() == []
