from __future__ import annotations

import attrs
import pytest
import trio
import trio.testing

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Topic
from oleanderweir.flows import LOOKUP_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.lookups import MAX_LOOKUPS
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.lookup_service import MAX_LISTED_DENIALS
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench


KEY = make_key(1)
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=6)
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def make_bench() -> AgentBench:
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in HOSTS}
    publish(bench.register, backends=backends)
    return bench


async def test_a_lookup_queries_every_agent_that_may_hold_the_flow() -> None:
    bench = make_bench()

    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)

    queried = {address[0] for _, address in bench.peer_socket.sent}
    assert queried == set(HOSTS)
    for message in bench.to_peers():
        assert isinstance(message, Delivery)
        assert message.purpose is DeliveryPurpose.TABLE_QUERY


async def test_a_delegate_queries_itself_while_its_entry_is_missing() -> None:
    bench = make_bench()
    others = {f"b{host}": backend_document(host=host) for host in HOSTS[1:]}
    publish(bench.register, backends=others, revision=20)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    queried = {address[0] for _, address in bench.peer_socket.pop_sent()}
    assert queried == set(HOSTS)

    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    for host in HOSTS[1:]:
        bench.agent.on_message(host, unknown)

    assert bench.to_peers() == []


async def test_a_delegate_that_has_just_started_has_no_backend_server_asked() -> None:
    bench = AgentBench(is_new=True)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    assert bench.to_peers() == []

    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    bench.agent.on_message("10.0.0.1", unknown)

    assert bench.to_peers() == []


async def test_a_lookup_has_backend_servers_asked_once_no_agent_has_an_entry() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()

    for host in HOSTS:
        assert bench.to_peers() == []
        reply = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
        bench.agent.on_message(host, reply)

    messages = bench.to_peers()
    assert len(messages) == len(HOSTS)
    for message in messages:
        assert isinstance(message, Delivery)
        assert message.purpose is DeliveryPurpose.QUERY


async def test_the_balancer_is_notified_of_the_owner() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()

    bench.agent.on_message("10.0.0.3", OwnerNotice(key=KEY))

    assert bench.to_peers() == [OwnerNotice(key=KEY, host="10.0.0.3")]


async def test_the_balancer_is_notified_once_that_the_flow_has_no_owner() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)

    for host in HOSTS[:2]:
        bench.agent.on_message(host, denial)
    assert bench.to_peers() == []
    bench.agent.on_message(HOSTS[2], denial)

    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.HELD_NOWHERE, data=REQUEST, hosts=HOSTS)
    ]


async def test_a_lookup_in_a_large_fleet_queries_the_probable_owners_first() -> None:
    hosts = tuple(f"10.0.0.{number}" for number in range(1, 41))
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in hosts}
    publish(bench.register, backends=backends)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    first = {address[0] for _, address in bench.peer_socket.pop_sent()}
    assert first == set(candidate_hosts(KEY, hosts, count=LOOKUP_CANDIDATES))

    for host in first:
        denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
        bench.agent.on_message(host, denial)

    others = {address[0] for _, address in bench.peer_socket.pop_sent()}
    assert others == set(hosts) - first


@pytest.mark.parametrize("is_final", [True, False], ids=["final", "acknowledgement"])
async def test_packets_without_payload_reach_an_owner_beyond_the_candidates(
    is_final: bool,
) -> None:
    packet = encode_packet(
        KEY, is_final=is_final, is_acknowledging=True, acknowledged=6
    )
    hosts = tuple(f"10.0.0.{number}" for number in range(1, 41))
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in hosts}
    publish(bench.register, backends=backends)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, packet)
    first = {address[0] for _, address in bench.peer_socket.pop_sent()}

    for host in first:
        denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=packet)
        bench.agent.on_message(host, denial)

    others = {address[0] for _, address in bench.peer_socket.pop_sent()}
    assert others == set(hosts) - first


async def test_an_agent_that_never_replies_does_not_prevent_queries_to_the_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    hosts = tuple(f"10.0.0.{number}" for number in range(1, 41))
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in hosts}
    publish(bench.register, backends=backends)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)

    queried = set()
    for _ in range(20):
        queried |= {address[0] for _, address in bench.peer_socket.pop_sent()}
        await trio.sleep(0.05)
        bench.agent.on_tick()

    assert queried >= set(hosts)


async def test_an_agent_with_an_older_state_reports_only_the_agents_that_denied() -> (
    None
):
    bench = make_bench()
    known = bench.register.changed_revision(Topic.BACKEND_SERVERS)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST, version=known + 1)
    bench.to_peers()
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)

    for host in HOSTS:
        bench.agent.on_message(host, denial)

    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.HELD_NOWHERE, data=REQUEST, hosts=HOSTS)
    ]


async def test_an_agent_with_an_older_state_sends_no_result_without_its_extent() -> (
    None
):
    hosts = [f"10.0.{n // 100}.{n % 100}" for n in range(MAX_LISTED_DENIALS + 1)]
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in hosts}
    publish(bench.register, backends=backends)
    known = bench.register.changed_revision(Topic.BACKEND_SERVERS)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST, version=known + 1)
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)

    for host in hosts:
        bench.agent.on_message(host, denial)

    assert not any(isinstance(m, ReturnedPacket) for m in bench.to_peers())


async def test_a_delegate_reports_that_a_lookup_continues(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()

    await bench.pass_time(0.4)

    progress = ReturnedPacket(reason=ReturnReason.PARTLY_DENIED, data=REQUEST)
    assert bench.to_peers().count(progress) >= 2


async def test_a_delegate_reports_the_denials_of_a_lookup_that_continues() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    bench.agent.on_message(HOSTS[0], denial)

    bench.agent.on_tick()
    bench.agent.on_tick()

    reports = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert reports == [
        ReturnedPacket(reason=ReturnReason.PARTLY_DENIED, data=REQUEST, hosts=HOSTS[:1])
    ]


async def test_an_agent_that_knew_the_removals_of_a_listing_sends_a_result() -> None:
    bench = make_bench()
    removal = Change(name=f"b{HOSTS[2]}", revision=11, document=None)
    changes = Changes(topic=Topic.BACKEND_SERVERS, revision=11, changes=(removal,))
    bench.register.apply_changes(changes, origin="test")
    export = bench.register.export(Topic.BACKEND_SERVERS)
    listing = attrs.evolve(export, revision=50)
    bench.register.apply_listing(listing, origin="test")
    # The balancer learned of the removal from the listing only.
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST, version=50)
    bench.to_peers()
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)

    for host in HOSTS:
        bench.agent.on_message(host, denial)

    held_nowhere = ReturnedPacket(
        reason=ReturnReason.HELD_NOWHERE, data=REQUEST, hosts=HOSTS[:2]
    )
    assert bench.to_peers() == [held_nowhere]


async def test_a_delegate_queries_exactly_the_agents_that_a_balancer_names() -> None:
    bench = make_bench()
    named = ("10.0.9.1", "10.0.9.2")
    request = Delivery(
        purpose=DeliveryPurpose.DELEGATED_LOOKUP, version=0, data=REQUEST, hosts=named
    )
    bench.agent.on_message("10.0.8.1", request)
    assert {address[0] for _, address in bench.peer_socket.sent} == set(named)
    bench.to_peers()

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    bench.agent.on_message(named[0], denial)
    assert bench.to_peers() == []

    bench.agent.on_message(named[1], denial)
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.HELD_NOWHERE, data=REQUEST, hosts=named)
    ]


async def test_a_delegate_awaits_a_named_agent_that_was_started_again() -> None:
    bench = make_bench()
    named = ("10.0.9.1", "10.0.9.2")
    # The delegate knows that the earlier process of this host departed, no more.
    bench.agent.members.record_departure(named[0])
    request = Delivery(
        purpose=DeliveryPurpose.DELEGATED_LOOKUP, version=0, data=REQUEST, hosts=named
    )
    bench.agent.on_message("10.0.8.1", request)
    bench.to_peers()
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)

    bench.agent.on_message(named[1], denial)
    assert bench.to_peers() == []

    bench.agent.on_message(named[0], denial)
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.HELD_NOWHERE, data=REQUEST, hosts=named)
    ]


async def test_named_agents_do_not_end_the_lookup_of_another_balancer() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()
    request = Delivery(
        purpose=DeliveryPurpose.DELEGATED_LOOKUP,
        version=0,
        data=REQUEST,
        hosts=("10.0.9.1",),
    )
    bench.agent.on_message("10.0.8.1", request)

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    bench.agent.on_message("10.0.9.1", denial)
    assert bench.to_peers() == []

    for host in HOSTS:
        bench.agent.on_message(host, denial)
    assert len(bench.to_peers()) == 2


async def test_a_request_that_found_no_room_gets_no_result_of_a_later_lookup() -> None:
    bench = make_bench()
    others = [make_key(number) for number in range(2, MAX_LOOKUPS + 2)]
    for key in others:
        packet = encode_packet(key, payload_bytes=900, acknowledged=6)
        bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, packet)
    request = Delivery(
        purpose=DeliveryPurpose.DELEGATED_LOOKUP,
        version=0,
        data=REQUEST,
        hosts=("10.0.9.1", "10.0.9.2"),
    )
    bench.agent.on_message("10.0.8.1", request)
    bench.agent.on_message(HOSTS[0], OwnerNotice(key=others[0]))
    bench.peer_socket.pop_sent()

    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    for host in HOSTS:
        bench.agent.on_message(host, denial)

    receivers = {address[0] for _, address in bench.peer_socket.pop_sent()}
    assert "10.0.8.1" not in receivers


async def test_the_owner_gets_a_query_again_after_the_last_late_denial() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    for host in HOSTS:
        bench.agent.on_message(host, unknown)
    owner, *others = HOSTS
    bench.agent.on_message(owner, OwnerNotice(key=KEY))
    bench.to_peers()

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    bench.agent.on_message(others[0], denial)
    assert bench.to_peers() == []

    bench.agent.on_message(others[1], denial)
    assert [address[0] for _, address in bench.peer_socket.sent] == [owner]
    assert bench.to_peers() == [
        Delivery(purpose=DeliveryPurpose.CONTINUE, version=0, data=REQUEST)
    ]


@pytest.mark.parametrize("denials", [1, 2], ids=["one-is-silent", "all-denied"])
async def test_the_owner_gets_the_query_again_after_all_others_got_it(
    denials: int,
) -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    for host in HOSTS:
        bench.agent.on_message(host, unknown)
    owner, *others = HOSTS
    bench.to_peers()
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    for host in others[:denials]:
        bench.agent.on_message(host, denial)

    bench.agent.on_message(owner, OwnerNotice(key=KEY))

    # Another backend server may have got the query last.
    [repeated] = [m for m in bench.to_peers() if isinstance(m, Delivery)]
    assert repeated.purpose is DeliveryPurpose.CONTINUE
    assert repeated.data == REQUEST


async def test_an_owner_that_has_an_entry_gets_the_query_once() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    bench.to_peers()

    bench.agent.on_message(HOSTS[0], OwnerNotice(key=KEY))

    messages = bench.to_peers()
    assert all(not isinstance(message, Delivery) for message in messages)


async def test_no_backend_server_of_the_fleet_is_asked_before_all_agents_replied() -> (
    None
):
    hosts = [f"10.0.0.{number}" for number in range(1, 41)]
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in hosts}
    publish(bench.register, backends=backends)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    first = {address[0] for _, address in bench.peer_socket.pop_sent()}
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    for host in sorted(first):
        bench.agent.on_message(host, denial)
    bench.to_peers()
    *others, owner = sorted(set(hosts) - first)

    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    for host in others:
        bench.agent.on_message(host, unknown)

    assert bench.to_peers() == []
    bench.agent.on_message(owner, OwnerNotice(key=KEY))
    assert all(not isinstance(message, Delivery) for message in bench.to_peers())


async def test_a_backend_server_that_is_being_asked_keeps_a_lookup_open(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    for host in HOSTS:
        bench.agent.on_message(host, unknown)
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    for host in HOSTS[:2]:
        bench.agent.on_message(host, denial)
    bench.to_peers()

    for _ in range(20):
        await trio.sleep(0.05)
        bench.agent.on_tick()

    reasons = {m.reason for m in bench.to_peers() if isinstance(m, ReturnedPacket)}
    assert ReturnReason.HELD_NOWHERE not in reasons


async def test_a_delegate_stops_asking_once_its_balancer_found_the_owner() -> None:
    bench = make_bench()
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST)
    unknown = ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    for host in HOSTS[:2]:
        bench.agent.on_message(host, unknown)
    bench.to_peers()

    bench.agent.on_message("10.0.8.1", OwnerNotice(key=KEY, host=HOSTS[0]))
    bench.agent.on_message(HOSTS[2], unknown)

    assert not any(isinstance(m, Delivery) for m in bench.to_peers())
