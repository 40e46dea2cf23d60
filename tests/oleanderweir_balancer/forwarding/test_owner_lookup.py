from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from oleanderweir.flows import candidate_hosts
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_balancer.forwarding.bench import LARGE_FLEET
from tests.oleanderweir_balancer.forwarding.bench import MIXED
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


async def test_an_unknown_flow_is_looked_up_at_every_agent_of_its_service() -> None:
    bench = BalancerBench()
    bench.publish()

    bench.balancer.on_caller_packet(REQUEST)

    sent = bench.deliveries()
    assert {host for host, _ in sent} == {"10.0.0.1", "10.0.0.2"}
    assert {message.purpose for _, message in sent} == {DeliveryPurpose.TABLE_QUERY}


async def test_backend_servers_are_asked_once_no_agent_has_an_entry_of_a_flow() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.UNKNOWN, REQUEST)
    assert bench.deliveries() == []
    bench.return_packet("10.0.0.2", ReturnReason.UNKNOWN, REQUEST)

    sent = bench.deliveries()
    assert {host for host, _ in sent} == {"10.0.0.1", "10.0.0.2"}
    assert {message.purpose for _, message in sent} == {DeliveryPurpose.QUERY}
    for host, _ in sent:
        assert bench.resets() == []
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_backend_servers_are_asked_with_the_request_after_an_ack() -> None:
    bench = BalancerBench()
    bench.publish()
    acknowledgement = encode_packet(KEY)
    bench.balancer.on_caller_packet(acknowledgement)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.UNKNOWN, acknowledgement)
    bench.return_packet("10.0.0.2", ReturnReason.UNKNOWN, acknowledgement)

    assert [message.data for _, message in bench.deliveries()] == [REQUEST, REQUEST]


async def test_an_agent_without_an_entry_is_asked_again_if_another_stays_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    bench.return_packet("10.0.0.1", ReturnReason.UNKNOWN, REQUEST)

    await trio.sleep(0.1)
    bench.balancer.retry_lookups()

    assert {host: message.purpose for host, message in bench.deliveries()} == {
        "10.0.0.1": DeliveryPurpose.QUERY,
        "10.0.0.2": DeliveryPurpose.TABLE_QUERY,
    }
    bench.return_packet("10.0.0.2", ReturnReason.UNKNOWN, REQUEST)
    [(host, message)] = bench.deliveries()
    assert (host, message.purpose) == ("10.0.0.2", DeliveryPurpose.QUERY)


async def test_a_reply_of_no_entry_after_the_owner_was_found_is_ignored() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.UNKNOWN, REQUEST)

    assert bench.deliveries() == []
    assert bench.resets() == []


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


async def test_a_flow_is_looked_up_at_the_former_service_of_its_route() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.publish(version=2, revision=20, routes={1: "archive"}, backends=MIXED)

    bench.balancer.on_caller_packet(REQUEST)

    assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.3"}


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
        if message.purpose is DeliveryPurpose.TABLE_QUERY
    }
    assert owner in queried
    for host in queried - {owner}:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []


async def test_an_open_flow_is_looked_up_once_agents_are_known() -> None:
    bench = BalancerBench()
    bench.balancer.on_caller_packet(REQUEST)
    assert bench.deliveries() == []

    bench.publish()
    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)

    assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.2"}


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


async def test_delegates_are_notified_of_an_owner_that_another_one_found(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _)] = bench.deliveries()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()

    owner = OwnerNotice(key=KEY, host="10.0.0.1")
    bench.balancer.on_message(second, owner)

    notified = {
        host
        for data, (host, _) in bench.socket.pop_sent()
        if decode_message(data) == owner
    }
    assert notified == {first, second}
