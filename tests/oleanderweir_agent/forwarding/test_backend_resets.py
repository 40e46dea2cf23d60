from __future__ import annotations

from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench


KEY = make_key(1)
OPENING = encode_packet(KEY, is_opening=True)
OPENED = encode_packet(KEY, is_opening=True, is_acknowledging=True, sequence=5)
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=6)
ANSWER = encode_packet(KEY, payload_bytes=600, is_acknowledging=True)
RESET = encode_packet(KEY, is_reset=True)
DENIAL = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)


async def test_resets_in_answer_to_two_ownership_checks_reach_no_caller() -> None:
    bench = AgentBench()
    query = Delivery(purpose=DeliveryPurpose.QUERY, version=0, data=REQUEST)
    bench.agent.on_message("10.0.9.2", query)
    bench.agent.on_message("10.0.9.3", query)

    bench.agent.on_backend_packet(RESET)
    bench.agent.on_backend_packet(RESET)

    assert bench.to_callers() == []


async def test_a_reset_that_waited_for_a_restarted_agent_reaches_no_caller() -> None:
    bench = AgentBench()

    # It answers a query that the agent forwarded before its restart.
    bench.agent.on_backend_packet(RESET)

    assert bench.to_callers() == []


async def test_a_reset_of_a_half_open_flow_after_a_packet_of_it_reaches_no_caller() -> (
    None
):
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    # The caller has acknowledged another backend server's answer, but this balancer
    # placed the flow here.
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.to_callers()

    bench.agent.on_backend_packet(RESET)

    assert bench.to_callers() == []


async def test_each_balancer_that_queried_a_half_open_flow_learns_of_its_reset() -> (
    None
):
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    query = Delivery(purpose=DeliveryPurpose.QUERY, version=0, data=REQUEST)
    bench.agent.on_message("10.0.9.2", query)
    bench.agent.on_message("10.0.9.3", query)
    bench.peer_socket.pop_sent()

    bench.agent.on_backend_packet(RESET)

    notified = {host for _, (host, _) in bench.peer_socket.sent}
    assert notified == {"10.0.9.2", "10.0.9.3"}
    assert bench.to_peers() == [DENIAL, DENIAL]


async def test_the_reset_of_an_established_flow_reaches_its_caller() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.agent.on_backend_packet(ANSWER)
    bench.to_callers()

    bench.agent.on_backend_packet(RESET)

    assert bench.to_callers() == [RESET]
