from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.held_openings import MAX_HELD_OPENINGS
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import saturate
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import encode_returned


async def test_a_draining_backend_server_gets_no_opening_packet() -> None:
    bench = AgentBench()
    draining = backend_document(host="10.0.0.1", state="draining")
    publish(bench.register, backends={"b1": draining})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.DRAINING, data=OPENING)
    ]


async def test_an_opening_packet_for_a_route_of_another_service_is_returned() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=5)

    assert bench.to_backend() == []
    assert bench.to_peers() == [
        ReturnedPacket(reason=ReturnReason.NO_ROUTE, data=OPENING)
    ]


# Guards against requests of another service whose lost backend server had this address.
async def test_a_new_agent_holds_opening_packets_until_it_knows_their_route() -> None:
    bench = AgentBench(is_new=True)
    foreign = encode_packet(make_key(2, route=2), is_opening=True)
    for opening in (OPENING, foreign):
        bench.deliver(DeliveryPurpose.OPEN, opening, version=5)
    assert bench.to_backend() == []

    publish(bench.register, version=5, routes={1: "feed", 2: "archive"})
    bench.agent.on_tick()

    assert bench.to_backend() == [OPENING]
    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == [ReturnedPacket(reason=ReturnReason.NO_ROUTE, data=foreign)]


@pytest.mark.parametrize(("service", "is_admitted"), [("feed", True), ("files", False)])
async def test_an_agent_holds_opening_packets_until_it_has_the_state_of_the_balancer(
    service: str, is_admitted: bool
) -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "archive"})
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=6)
    assert bench.to_backend() == []
    assert bench.to_peers() == []

    publish(bench.register, version=6, routes={1: service}, revision=11)

    assert bench.to_backend() == ([OPENING] if is_admitted else [])


async def test_an_older_state_that_allows_a_flow_is_enough_to_admit_it() -> None:
    bench = AgentBench()
    publish(bench.register, version=5, routes={1: "feed"})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=6)

    assert bench.to_backend() == [OPENING]


async def test_a_new_agent_sends_nothing_to_a_draining_backend_server() -> None:
    bench = AgentBench(is_new=True)
    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    draining = backend_document(host="10.0.0.1", state="draining")
    publish(bench.register, backends={"b1": draining})

    assert bench.to_backend() == []


async def test_an_opening_packet_is_not_held_for_long(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench(is_new=True)
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # Its caller sends a copy by way of another balancer.
    await bench.pass_time(0.2)
    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    await bench.pass_time(0.1)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == [ReturnedPacket(reason=ReturnReason.NO_ROUTE, data=OPENING)]
    publish(bench.register, version=5)
    assert bench.to_backend() == []


async def test_opening_packets_are_returned_while_too_many_are_held() -> None:
    bench = AgentBench(is_new=True)
    for number in range(1, MAX_HELD_OPENINGS + 2):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.deliver(DeliveryPurpose.OPEN, opening)

    last = encode_packet(make_key(MAX_HELD_OPENINGS + 1), is_opening=True)
    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.NO_ROUTE, data=last)]


async def test_a_rejected_opening_packet_is_returned() -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    bench.agent.on_backend_packet(encode_returned(is_opening=True))

    assert bench.to_peers() == [ReturnedPacket(reason=ReturnReason.FULL, data=OPENING)]


async def test_an_unanswered_opening_packet_is_returned(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)

    await bench.pass_time(0.15)

    messages = bench.to_peers()
    assert ReturnedPacket(reason=ReturnReason.UNANSWERED, data=OPENING) in messages


async def test_a_saturated_agent_returns_new_flows_with_a_load_report() -> None:
    bench = AgentBench()
    saturate(bench)
    opening = encode_packet(make_key(99), is_opening=True)

    bench.deliver(DeliveryPurpose.OPEN, opening)

    report, returned_opening = bench.to_peers()
    assert isinstance(report, LoadReport)
    assert report.busy > bench.agent.dispatcher.meter.slots
    assert returned_opening == ReturnedPacket(reason=ReturnReason.BUSY, data=opening)


async def test_a_saturated_agent_accepts_a_flow_that_must_not_be_returned() -> None:
    bench = AgentBench()
    saturate(bench)
    bench.to_backend()
    opening = encode_packet(make_key(99), is_opening=True)

    bench.deliver(DeliveryPurpose.OPEN_AS_LAST_RESORT, opening)

    assert bench.to_backend() == [opening]


async def test_a_copy_of_a_forwarded_opening_packet_is_not_returned() -> None:
    bench = AgentBench()
    opening = encode_packet(make_key(99), is_opening=True)
    bench.deliver(DeliveryPurpose.OPEN, opening)
    saturate(bench)
    bench.to_backend()

    bench.deliver(DeliveryPurpose.OPEN, opening)

    assert bench.to_backend() == [opening]


async def test_a_copy_of_an_answered_opening_packet_is_not_returned() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    bench.agent.on_backend_packet(OPENED)
    draining = backend_document(host="10.0.0.1", state="draining")
    publish(bench.register, backends={"b1": draining}, revision=20)

    # A balancer that gets the copy back opens the flow a second time elsewhere.
    copy = encode_packet(KEY, is_opening=True, acknowledged=1)
    bench.deliver(DeliveryPurpose.OPEN, copy, version=1)

    assert bench.to_peers() == []


async def test_an_answer_that_waited_in_the_socket_during_a_pause_counts_as_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_tick()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # The process is paused; the tick runs before the waiting answer is read.
    await trio.sleep(0.5)

    bench.agent.on_tick()
    bench.agent.on_backend_packet(OPENED)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == []


async def test_an_answer_that_waited_during_a_short_pause_counts_as_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_tick()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # Longer than any interval of ticks; the waiting answer is read after the tick.
    await trio.sleep(0.25)

    bench.agent.on_tick()
    bench.agent.on_backend_packet(OPENED)

    returned = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert returned == []
