from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir.peering.messages import DeliveryPurpose
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.packets import acknowledge
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import request


if TYPE_CHECKING:
    import trio.testing


async def test_requests_beyond_the_slots_are_queued_until_an_answer() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.agent.on_state_change()
    for number in range(1, 8):
        open_flow(bench, number)
    bench.to_backend()

    for number in range(1, 8):
        bench.deliver(DeliveryPurpose.CONTINUE, request(number), version=1)

    # Four slots, and one spare request that starts as soon as a slot is free.
    assert len(bench.to_backend()) == 5
    bench.agent.on_backend_packet(answer(1))
    assert bench.to_backend() == [request(6)]


async def test_a_copy_of_an_answered_request_holds_no_slot() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)
    bench.agent.on_backend_packet(answer(1))
    bench.to_backend()

    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)

    assert bench.agent.dispatcher.meter.busy == 0
    assert bench.to_backend() == [request(1)]


async def test_a_second_request_of_a_flow_is_counted() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)
    bench.agent.on_backend_packet(answer(1))

    bench.deliver(DeliveryPurpose.CONTINUE, request(1, sequence=901), version=1)

    assert bench.agent.dispatcher.meter.busy == 1


async def test_a_request_whose_caller_closed_the_flow_holds_no_slot() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)

    closing = encode_packet(make_key(1), is_final=True, sequence=901)
    bench.deliver(DeliveryPurpose.CONTINUE, closing, version=1)

    assert bench.agent.dispatcher.meter.busy == 0


async def test_a_request_without_an_answer_frees_its_slot_after_its_timeout(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)

    await bench.pass_time(2.1)

    assert bench.agent.dispatcher.meter.busy == 0


async def test_a_request_of_a_query_holds_one_slot_until_it_is_answered() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    meter = bench.agent.dispatcher.meter
    bench.deliver(DeliveryPurpose.QUERY, request(1), version=1)
    bench.agent.on_backend_packet(acknowledge(1, up_to=901))
    assert meter.busy == 1

    bench.deliver(DeliveryPurpose.CONTINUE, request(1), version=1)
    assert meter.busy == 1

    bench.agent.on_backend_packet(answer(1))
    assert meter.busy == 0


async def test_a_queued_copy_of_acknowledged_bytes_is_dropped() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    for number in range(1, 8):
        open_flow(bench, number)
        bench.deliver(DeliveryPurpose.CONTINUE, request(number), version=1)
    assert len(bench.agent.dispatcher.queue) == 2

    # The backend server received the request of flow 7 before the agent was started.
    bench.agent.on_backend_packet(acknowledge(7, up_to=901))

    assert len(bench.agent.dispatcher.queue) == 1


async def test_a_request_of_a_half_open_flow_holds_a_slot_while_it_is_checked(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)

    bench.deliver(DeliveryPurpose.QUERY, request(1))
    assert bench.agent.dispatcher.meter.busy == 1

    await bench.pass_time(0.1)
    bench.agent.on_backend_packet(answer(1))
    assert bench.agent.dispatcher.meter.service_s == pytest.approx(0.1)
