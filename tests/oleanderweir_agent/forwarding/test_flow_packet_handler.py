from __future__ import annotations

import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.bench import simulate_backend_crash
from tests.oleanderweir_agent.forwarding.packets import ANSWER
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import request


async def test_a_packet_of_an_unknown_flow_is_forwarded_to_check_ownership() -> None:
    bench = AgentBench()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_backend() == [REQUEST]
    assert bench.to_peers() == []

    bench.agent.on_backend_packet(ANSWER)
    assert bench.to_peers() == [OwnerNotice(key=KEY)]


async def test_a_table_query_of_an_unknown_flow_reaches_no_backend_server() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.TABLE_QUERY, REQUEST, version=5)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.UNKNOWN, data=REQUEST)
    ]


async def test_a_table_query_of_an_established_flow_is_claimed_and_forwarded() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.agent.on_backend_packet(ANSWER)
    bench.to_backend()
    bench.to_peers()

    bench.deliver(DeliveryPurpose.TABLE_QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]
    assert bench.to_peers() == [OwnerNotice(key=KEY)]


async def test_a_table_query_of_a_flow_that_is_known_not_to_be_held_is_denied() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(
        encode_packet(KEY, payload_bytes=10, is_returned=True)
    )
    bench.to_backend()
    bench.to_peers()

    bench.deliver(DeliveryPurpose.TABLE_QUERY, REQUEST)

    assert bench.to_backend() == []
    [reply] = bench.to_peers()
    assert isinstance(reply, ReturnedPacket)
    assert reply.reason is ReturnReason.NOT_HELD


async def test_a_query_is_forwarded_even_if_its_route_has_another_service() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.QUERY, REQUEST, version=5)

    assert bench.to_backend() == [REQUEST]


async def test_only_a_query_forwards_an_unknown_flow_of_another_service() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST, version=5)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.NOT_TRIED, data=REQUEST)
    ]


async def test_a_query_is_not_denied_without_a_sign_of_a_crash(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    await bench.pass_time(2.0)

    assert not [
        message for message in bench.to_peers() if isinstance(message, ReturnedPacket)
    ]


async def test_flows_of_a_backend_server_that_is_down_are_lost(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    await simulate_backend_crash(bench)

    again = request(1, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, again)

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.LOST, data=again)]


async def test_a_late_probe_loses_no_flow_of_a_running_backend_server(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    await bench.pass_time(0.1)
    # Its answers are lost, and the agent is too busy to probe it.
    for number in (2, 3):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN, opening)
    await bench.pass_time(0.6)
    bench.to_peers()

    again = request(1, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, again)

    assert bench.to_peers() == []
    assert bench.to_backend()[-1] == again


async def test_a_long_request_alone_does_not_mark_the_backend_server_as_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))

    await bench.pass_time(1.5)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))

    assert bench.to_backend()[-1] == request(1)


async def test_a_query_is_denied_when_the_backend_server_is_no_longer_published(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(3.0)
    bench.to_peers()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == []
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert denial in bench.to_peers()


async def test_a_brief_removal_of_the_published_record_is_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(1.5)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]


async def test_an_unpublished_backend_server_that_sends_packets_gets_queries(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(3.0)
    bench.agent.on_backend_packet(answer(2))

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert REQUEST in bench.to_backend()


async def test_an_unpublished_backend_server_that_listens_is_asked_for_an_idle_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    publish(bench.register, backends={}, revision=11)
    await bench.pass_time(6.0)
    bench.to_peers()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]
    assert bench.to_peers() == []
    # It may have stopped since the last probe.
    assert bench.agent.liveness.needs_probe(now=trio.current_time())
    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())
    await bench.pass_time(0.05)
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert denial in bench.to_peers()


async def test_a_pause_of_the_agent_does_not_lose_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    for number in (2, 3):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN, opening)
    bench.agent.on_tick()
    bench.to_peers()
    # The answers of the backend server are still unread in the socket, behind the
    # next packet.
    await trio.sleep(1.7)

    bench.deliver(DeliveryPurpose.CONTINUE, request(1))

    lost = [
        message for message in bench.to_peers() if isinstance(message, ReturnedPacket)
    ]
    assert lost == []


async def test_a_half_open_flow_is_not_lost_when_the_backend_server_is_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    await simulate_backend_crash(bench)
    bench.to_peers()

    # The caller has acknowledged the answer of another backend server.
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == [ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)]


async def test_a_query_of_a_queued_request_does_not_bypass_the_queue() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    for number in range(1, 8):
        open_flow(bench, number)
        bench.deliver(DeliveryPurpose.CONTINUE, request(number), version=1)
    bench.to_backend()

    # The caller sends its queued request again, through another balancer.
    bench.deliver(DeliveryPurpose.QUERY, request(7), version=1)

    assert bench.to_backend() == []


async def test_a_query_is_not_denied_before_backend_servers_were_listed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench(is_new=True)
    # The agent was restarted and has received the desired state only.
    bench.agent.on_state_change()
    await bench.pass_time(3.0)
    bench.to_peers()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]


async def test_an_ended_flow_is_not_claimed_for_a_query_of_a_new_one() -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.deliver(DeliveryPurpose.CONTINUE, encode_packet(make_key(1), is_final=True))
    bench.agent.on_backend_packet(encode_packet(make_key(1), is_final=True))
    bench.to_callers()
    bench.to_peers()

    # Another backend server has opened the next flow from the same port.
    bench.deliver(DeliveryPurpose.QUERY, request(1, sequence=70000))

    assert bench.to_peers() == []


async def test_an_abandoned_flow_is_not_claimed_for_a_new_one_of_the_same_port() -> (
    None
):
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.agent.on_backend_packet(ANSWER)
    bench.to_peers()
    bench.to_callers()
    # The caller has given up that flow, and opened another one elsewhere.
    new = encode_packet(
        KEY, payload_bytes=900, sequence=5_000_000, acknowledged=7_000_000
    )

    bench.deliver(DeliveryPurpose.QUERY, new)

    assert bench.to_backend()[-1] == new
    assert bench.to_peers() == []
    bench.agent.on_backend_packet(encode_packet(KEY, is_reset=True))
    assert bench.to_callers() == []
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=new)
    assert bench.to_peers() == [denial]


async def test_a_query_of_an_established_flow_is_claimed_at_once() -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.agent.on_backend_packet(ANSWER)
    bench.to_peers()

    bench.deliver(
        DeliveryPurpose.QUERY,
        encode_packet(KEY, payload_bytes=900, sequence=900, acknowledged=606),
    )

    assert bench.to_peers() == [OwnerNotice(key=KEY)]
