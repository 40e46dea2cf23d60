from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import simulate_backend_crash
from tests.oleanderweir_agent.forwarding.packets import ANSWER
from tests.oleanderweir_agent.forwarding.packets import KEY
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST
from tests.oleanderweir_agent.forwarding.packets import acknowledge
from tests.oleanderweir_agent.forwarding.packets import encode_returned


if TYPE_CHECKING:
    import trio.testing


async def test_a_query_is_denied_when_the_backend_server_is_down(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    await simulate_backend_crash(bench)

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    await bench.pass_time(0.1)

    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert denial in bench.to_peers()


async def test_a_flow_of_another_backend_server_does_not_reach_this_one_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    assert bench.to_backend() == [REQUEST]
    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))
    await bench.pass_time(6.0)
    bench.agent.expire()
    bench.to_peers()

    # The agent of its own backend server doesn't reply yet.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == []
    denial = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)
    assert bench.to_peers() == [denial]


async def test_a_flow_opened_after_a_negative_result_is_not_denied(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))
    await bench.pass_time(6.0)
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.to_backend()

    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    assert bench.to_backend() == [REQUEST]


async def test_a_check_of_an_earlier_flow_of_the_port_withholds_no_answer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    # On a port whose flow has ended, a backend server answers no acknowledgement.
    late = encode_packet(KEY, sequence=1 << 30, acknowledged=1 << 30)
    bench.deliver(DeliveryPurpose.CONTINUE, late)
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    bench.to_callers()

    bench.agent.on_backend_packet(ANSWER)

    assert bench.to_callers() == [ANSWER]


async def test_a_query_is_repeated_to_a_backend_server_that_starts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    # The backend server doesn't listen yet, and loses the first packet.
    await bench.pass_time(0.5)

    assert bench.to_backend() == [REQUEST, REQUEST]


async def test_a_query_is_repeated_three_times_at_most(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    await bench.pass_time(4.9)

    assert bench.to_backend() == [REQUEST] * 4


async def test_a_query_with_a_mere_acknowledgement_is_not_repeated(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    acknowledgement = acknowledge(1, up_to=6)
    bench.deliver(DeliveryPurpose.QUERY, acknowledgement)

    await bench.pass_time(4.9)

    # A backend server on which an earlier flow of the port has ended stays silent.
    assert bench.to_backend() == [acknowledgement]


async def test_an_answered_query_is_not_repeated(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(encode_returned(payload_bytes=900, acknowledged=6))

    await bench.pass_time(4.9)

    assert bench.to_backend() == [REQUEST]
