from __future__ import annotations

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.packets import ANSWER
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST


# Acknowledges the answer of another backend server.
OTHER_REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=5_000_000)


def is_denied(bench: AgentBench) -> bool:
    [message] = bench.to_peers()
    assert isinstance(message, ReturnedPacket)
    return message.reason is ReturnReason.NOT_HELD


async def test_the_winner_of_a_hedged_flow_gets_its_packets_and_claims_it() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.to_backend()

    bench.deliver(DeliveryPurpose.HEDGED_QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]
    bench.agent.on_backend_packet(ANSWER)
    assert bench.to_peers() == [OwnerNotice(key=KEY)]


async def test_the_loser_denies_a_hedged_flow_without_asking_its_backend_server() -> (
    None
):
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.to_backend()
    bench.to_callers()

    for _ in range(2):
        bench.deliver(DeliveryPurpose.HEDGED_QUERY, OTHER_REQUEST)
        assert is_denied(bench)

    assert bench.to_backend() == []
    # The backend server repeats its answer.
    bench.agent.on_backend_packet(OPENED)
    assert bench.to_callers() == []
    assert bench.agent.table.flows == {}


async def test_the_late_answer_of_a_loser_is_withheld_from_the_caller() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.to_backend()

    bench.deliver(DeliveryPurpose.HEDGED_QUERY, OTHER_REQUEST)
    bench.agent.on_backend_packet(OPENED)

    assert is_denied(bench)
    assert bench.to_backend() == []
    assert bench.to_callers() == []


async def test_an_agent_without_the_flow_does_not_ask_its_backend_server() -> None:
    bench = AgentBench()

    bench.deliver(DeliveryPurpose.HEDGED_QUERY, OTHER_REQUEST)

    [message] = bench.to_peers()
    assert isinstance(message, ReturnedPacket)
    assert message.reason is ReturnReason.UNKNOWN
    assert bench.to_backend() == []


async def test_a_new_flow_of_the_port_of_a_withdrawn_one_is_answered() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.HEDGED_QUERY, OTHER_REQUEST)
    bench.to_callers()

    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)

    assert bench.to_callers() == [OPENED]


async def test_an_agent_that_restarted_behind_an_open_flow_still_serves_it() -> None:
    bench = AgentBench()
    # A copy of the opening packet is all that the new process has seen of the flow.
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.deliver(DeliveryPurpose.HEDGED_QUERY, REQUEST)
    assert is_denied(bench)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(ANSWER)

    assert bench.to_callers() == [ANSWER]
    assert bench.to_peers() == [OwnerNotice(key=KEY)]


# Failure: the first agent stood still, and reads the opening packet and the query.
async def test_a_held_opening_packet_of_a_flow_that_another_one_won_is_dropped() -> (
    None
):
    bench = AgentBench(is_new=True)
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)

    bench.deliver(DeliveryPurpose.HEDGED_QUERY, OTHER_REQUEST)
    publish(bench.register, version=1)
    bench.agent.on_tick()

    assert OPENING not in bench.to_backend()


# Failure: the winner's agent was restarted, and gets a copy of the opening packet.
async def test_the_repeated_answer_that_the_caller_acknowledged_is_not_withheld() -> (
    None
):
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.deliver(DeliveryPurpose.HEDGED_QUERY, REQUEST)
    bench.to_callers()

    bench.agent.on_backend_packet(OPENED)

    assert bench.to_callers() == [OPENED]
    assert KEY in bench.agent.table.flows
