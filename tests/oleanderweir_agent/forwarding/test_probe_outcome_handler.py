from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding import ProbeOutcome
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import BACKEND
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import request


async def test_flows_of_a_stopped_backend_server_are_reset_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_callers()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    [data] = bench.to_callers()
    reset = EmulatedPacketCodec().decode_from_caller(data)
    assert reset is not None
    assert reset.is_reset
    assert reset.key == make_key(1)
    assert not bench.agent.dispatcher.is_busy
    bench.deliver(DeliveryPurpose.QUERY, request(1))
    [denial] = bench.to_peers()
    assert isinstance(denial, ReturnedPacket)
    assert denial.reason is ReturnReason.NOT_HELD


# Guards against resets of flows that a backend server still holds as its drain ends.
@pytest.mark.parametrize("is_removed", [False, True])
async def test_a_drained_backend_server_that_closed_its_port_gets_no_flow_reset(
    autojump_clock: trio.testing.MockClock, is_removed: bool
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    draining = backend_document(host=BACKEND.host, state="draining")
    publish(bench.register, revision=2, backends={"b1": draining})
    if is_removed:
        publish(bench.register, revision=3, backends={})
    bench.to_callers()
    await trio.sleep(1)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    assert bench.to_callers() == []
    assert bench.agent.holds_no_flows


async def test_a_flow_that_was_used_after_the_probe_is_kept(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1)
    checked_at = trio.current_time()
    await trio.sleep(0.01)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.to_callers()

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=checked_at)

    assert bench.to_callers() == []
    assert make_key(1) in bench.agent.table.flows


async def test_opening_packets_at_a_stopped_backend_server_are_returned_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    await trio.sleep(0.01)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    expected = ReturnedPacket(reason=ReturnReason.UNANSWERED, data=OPENING)
    assert bench.to_peers() == [expected]


async def test_open_flows_are_kept_while_the_backend_server_is_not_listening_yet(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())
    await trio.sleep(1)
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_callers()
    await trio.sleep(1)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    assert bench.to_callers() == []


async def test_a_stopped_backend_server_resets_no_flow_that_it_had_only_half_open(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    # The flow was opened elsewhere; the query is lost before its return.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)
    bench.agent.on_backend_packet(OPENED)
    bench.to_callers()
    await trio.sleep(1.0)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())

    assert bench.to_callers() == []


async def test_a_refusal_from_before_a_probe_denies_no_later_check(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1.0)
    checked_at = trio.current_time()
    await trio.sleep(0.1)
    # The next backend server at the address has started since the probe.
    bench.deliver(DeliveryPurpose.QUERY, REQUEST)

    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=checked_at)

    assert bench.to_peers() == []
