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
from tests.oleanderweir.desired_state.fakes import withdrawal_change
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


RETURNED = ReturnedPacket(reason=ReturnReason.EVACUATED, data=OPENING)


def publish_backend(bench: AgentBench, *, availability_zone: str) -> None:
    document = backend_document(host=BACKEND.host, availability_zone=availability_zone)
    publish(bench.register, backends={"b1": document})


# The balancer may be cut off from the store and its peers; the agent is not.
async def test_opening_packets_are_returned_while_the_zone_is_evacuated() -> None:
    bench = AgentBench()
    publish_backend(bench, availability_zone="b")
    apply_orders(bench.register, order_change("b", revision=11))

    for number in range(1, 101):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN_EVEN_IF_BUSY, opening, version=1)

    assert bench.to_backend() == []
    reasons = {m.reason for m in bench.to_peers() if isinstance(m, ReturnedPacket)}
    assert reasons == {ReturnReason.EVACUATED}
    apply_orders(bench.register, withdrawal_change("b", revision=12))
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    assert bench.to_backend() == [OPENING]


async def test_an_agent_without_a_record_goes_by_its_own_zone() -> None:
    bench = AgentBench()
    apply_orders(bench.register, order_change("a", revision=11))

    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    assert bench.to_backend() == []
    assert bench.to_peers() == [RETURNED]


async def test_the_zone_of_the_record_goes_before_that_of_the_agent() -> None:
    bench = AgentBench()
    publish_backend(bench, availability_zone="b")
    apply_orders(bench.register, order_change("a", revision=11))

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)

    assert bench.to_backend() == [OPENING]


async def test_open_flows_and_answered_copies_stay_in_an_evacuated_zone() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.to_backend()
    apply_orders(bench.register, order_change("a", revision=11))

    copy = encode_packet(KEY, is_opening=True, acknowledged=1)
    bench.deliver(DeliveryPurpose.OPEN, copy)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)

    assert bench.to_backend() == [copy, REQUEST]


async def test_load_reports_say_that_an_evacuated_zone_accepts_no_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    apply_orders(bench.register, order_change("a", revision=11))

    await bench.pass_time(0.2)

    reports = [m for m in bench.to_peers() if isinstance(m, LoadReport)]
    assert not reports[-1].is_accepting
