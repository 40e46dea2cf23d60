from __future__ import annotations

import pytest

from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.packets import ANSWER
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import encode_returned
from tests.oleanderweir_agent.forwarding.packets import request


async def test_a_flow_whose_packet_the_backend_server_returned_is_denied() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.to_backend()

    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert bench.to_peers() == [denial]
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_backend() == []
    assert bench.to_peers() == [denial]


async def test_an_established_flow_whose_packet_is_returned_is_lost() -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_peers()

    again = request(1, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, again)
    bench.agent.on_backend_packet(
        encode_packet(make_key(1), is_returned=True, payload_bytes=900, sequence=901)
    )

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.LOST, data=again)]


async def test_a_late_answer_to_an_opening_packet_sends_no_owner_notice() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.to_backend()
    bench.agent.openings.discard(KEY)
    bench.agent.table.remove(KEY)
    # The flow was opened elsewhere, and a balancer looks up its owner.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.agent.on_backend_packet(OPENED)

    assert bench.to_peers() == []
    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))
    [denial] = bench.to_peers()
    assert isinstance(denial, ReturnedPacket)
    assert denial.reason is ReturnReason.NOT_HELD


async def test_a_half_open_flow_is_not_claimed_before_its_backend_server_answers() -> (
    None
):
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    # The caller has acknowledged the answer of another backend server.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_peers() == []

    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    ]


@pytest.mark.parametrize("purpose", [DeliveryPurpose.CONTINUE, DeliveryPurpose.QUERY])
async def test_a_late_answer_to_an_opening_packet_does_not_make_its_flow_lost(
    purpose: DeliveryPurpose,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # Another backend server has opened the flow; this one answers the opening packet
    # before it returns the caller's next packet.
    bench.deliver(purpose, REQUEST)
    bench.agent.on_backend_packet(OPENED)

    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == [ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)]


async def test_a_half_open_flow_is_claimed_once_its_backend_server_answers() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(ANSWER)

    assert bench.to_peers() == [OwnerNotice(key=KEY)]


async def test_a_reset_in_answer_to_an_ownership_check_reaches_no_caller() -> None:
    bench = AgentBench()
    # An earlier flow with this key has ended here; the open one is held elsewhere.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.agent.on_backend_packet(encode_packet(KEY, is_reset=True))

    assert bench.to_callers() == []
    assert OwnerNotice(key=KEY) not in bench.to_peers()


async def test_a_check_of_a_half_open_flow_notifies_each_balancer_that_queried() -> (
    None
):
    bench = AgentBench()
    open_flow(bench, 1)
    query = Delivery(purpose=DeliveryPurpose.QUERY, version=0, data=request(1))
    bench.agent.on_message("10.0.9.2", query)
    bench.agent.on_message("10.0.9.3", query)

    bench.agent.on_backend_packet(answer(1))

    notified = {host for _, (host, _) in bench.peer_socket.pop_sent()}
    assert {"10.0.9.2", "10.0.9.3"} <= notified


@pytest.mark.parametrize(
    "purpose", [DeliveryPurpose.QUERY, DeliveryPurpose.CONTINUE], ids=lambda p: p.name
)
async def test_a_late_packet_of_an_earlier_flow_of_the_port_loses_no_open_flow(
    purpose: DeliveryPurpose,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(
        DeliveryPurpose.CONTINUE,
        encode_packet(make_key(1), payload_bytes=900, acknowledged=2_000_000),
    )
    bench.agent.on_backend_packet(answer(1))
    late = encode_packet(make_key(1), is_final=True, acknowledged=7)
    bench.deliver(purpose, late)
    bench.to_peers()

    bench.agent.on_backend_packet(
        encode_packet(make_key(1), is_returned=True, is_final=True, acknowledged=7)
    )

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=late, is_port_used=True)
    assert bench.to_peers() == [denial]
    again = encode_packet(make_key(1), payload_bytes=900, acknowledged=2_000_600)
    bench.deliver(DeliveryPurpose.TABLE_QUERY, again)
    assert bench.to_peers() == [OwnerNotice(key=make_key(1))]


def serve_next_flow(bench: AgentBench) -> None:
    """Have a port's next flow open, and a late packet of its earlier one come."""
    open_flow(bench, 1)
    bench.deliver(
        DeliveryPurpose.CONTINUE,
        encode_packet(KEY, payload_bytes=900, acknowledged=2_000_600),
    )
    bench.agent.on_backend_packet(answer(1))
    late = encode_packet(KEY, is_acknowledging=True, acknowledged=7)
    bench.deliver(DeliveryPurpose.CONTINUE, late)
    bench.to_peers()
    bench.to_callers()


async def test_a_reset_after_a_late_acknowledgement_reaches_its_caller() -> None:
    bench = AgentBench()
    serve_next_flow(bench)

    reset = encode_packet(KEY, is_reset=True, sequence=2_000_600)
    bench.agent.on_backend_packet(reset)

    assert bench.to_callers() == [reset]


async def test_a_flow_whose_packet_returns_after_a_late_acknowledgement_is_lost() -> (
    None
):
    bench = AgentBench()
    serve_next_flow(bench)

    again = encode_packet(KEY, payload_bytes=900, sequence=901, acknowledged=2_000_610)
    bench.deliver(DeliveryPurpose.CONTINUE, again)
    bench.agent.on_backend_packet(
        encode_packet(
            KEY,
            is_returned=True,
            payload_bytes=900,
            sequence=901,
            acknowledged=2_000_610,
        )
    )

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.LOST, data=again)]


async def test_a_callers_reset_closes_its_flow_whatever_it_acknowledges() -> None:
    bench = AgentBench()
    serve_next_flow(bench)

    bench.deliver(DeliveryPurpose.CONTINUE, encode_packet(KEY, is_reset=True))

    flow = bench.agent.table.get(KEY)
    assert flow is None or flow.is_closed


async def test_a_late_copy_of_an_opening_packet_withholds_no_claim() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(ANSWER)

    assert OwnerNotice(key=KEY) in bench.to_peers()


async def test_a_late_packet_loses_no_flow_that_was_claimed_by_a_query() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.TABLE_QUERY, REQUEST)
    bench.agent.on_backend_packet(ANSWER)
    late = encode_packet(KEY, payload_bytes=900, acknowledged=2_000_600)
    bench.deliver(DeliveryPurpose.CONTINUE, late)
    bench.to_peers()

    bench.agent.on_backend_packet(
        encode_packet(KEY, is_returned=True, payload_bytes=900, acknowledged=2_000_600)
    )

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=late, is_port_used=True)
    assert bench.to_peers() == [denial]
