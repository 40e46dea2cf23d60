from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import BACKEND
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST


if TYPE_CHECKING:
    import trio.testing


# The balancer may be cut off from the store and its peers; the agent is not.
async def test_opening_packets_are_returned_while_the_zone_is_evacuated(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    document = backend_document(host=BACKEND.host, availability_zone="b")
    publish(bench.register, backends={"b1": document})
    # The zone of the record counts, not that of the agent.
    apply_orders(bench.register, order_change("a", revision=11))
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    assert bench.to_backend() == [OPENING]

    apply_orders(bench.register, order_change("b", revision=12))
    for number in range(101, 201):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN_AS_LAST_RESORT, opening, version=1)
    await bench.pass_time(0.2)

    assert bench.to_backend() == []
    messages = bench.to_peers()
    reasons = [m.reason for m in messages if isinstance(m, ReturnedPacket)]
    assert reasons[:100] == [ReturnReason.EVACUATED] * 100
    reports = [m for m in messages if isinstance(m, LoadReport)]
    assert not reports[-1].is_accepting


async def test_open_flows_and_answered_copies_stay_in_an_evacuated_zone() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.to_backend()
    # Without a record, the zone of the agent counts.
    apply_orders(bench.register, order_change("a", revision=11))

    copy = encode_packet(KEY, is_opening=True, acknowledged=1)
    bench.deliver(DeliveryPurpose.OPEN, copy)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    new_flow = encode_packet(make_key(2), is_opening=True)
    bench.deliver(DeliveryPurpose.OPEN, new_flow)

    assert bench.to_backend() == [copy, REQUEST]
