from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding import ProbeOutcome
from oleanderweir_agent.forwarding.backend_continuity import DEFAULT_RECORD_LEASE_S
from oleanderweir_agent.forwarding.state_proof import FixedProof
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import BACKEND
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import request


OPEN_FLOW = 7


def publish_start(
    bench: AgentBench, *, started_at_ms: int, revision: int, service: str = "feed"
) -> None:
    document = backend_document(
        host=BACKEND.host, service=service, started_at_ms=started_at_ms
    )
    publish(bench.register, version=1, revision=revision, backends={"b1": document})


async def make_bench() -> AgentBench:
    """Return an agent with a published backend server that holds a flow."""
    bench = AgentBench()
    publish_start(bench, started_at_ms=1000, revision=2)
    open_flow(bench, OPEN_FLOW)
    bench.deliver(DeliveryPurpose.CONTINUE, request(OPEN_FLOW))
    bench.agent.on_backend_packet(
        encode_packet(make_key(OPEN_FLOW), is_acknowledging=True)
    )
    await trio.sleep(1.0)
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    bench.to_backend()
    return bench


def is_forwarded(bench: AgentBench) -> bool:
    """Whether a new flow is forwarded; check that it is returned otherwise."""
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    if OPENING in bench.to_backend():
        return True
    returned = ReturnedPacket(reason=ReturnReason.FULL, data=OPENING)
    assert returned in bench.to_peers()
    return False


async def stop_backend(bench: AgentBench) -> None:
    """Stop the backend server; another one accepts connections 2 s later."""
    bench.agent.on_probe_outcome(ProbeOutcome.REFUSED, checked_at=trio.current_time())
    await trio.sleep(2.0)
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())


async def test_flows_are_rejected_after_a_stop_until_a_newer_start_is_published(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    assert is_forwarded(bench)

    await stop_backend(bench)
    assert not is_forwarded(bench)

    publish_start(bench, started_at_ms=2000, revision=3)
    assert is_forwarded(bench)


async def test_flows_are_rejected_for_good_once_another_service_uses_the_address(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    await stop_backend(bench)

    publish_start(bench, started_at_ms=2000, revision=3, service="archive")
    await trio.sleep(DEFAULT_RECORD_LEASE_S)
    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)

    assert bench.to_backend() == []


async def test_a_packet_of_an_open_flow_ends_the_doubt_after_a_standstill(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = await make_bench()
    bench.agent.on_standstill()
    assert not is_forwarded(bench)

    # Another backend server would return the packets of a flow that it doesn't hold.
    bench.agent.on_backend_packet(
        encode_packet(make_key(OPEN_FLOW), is_acknowledging=True)
    )

    assert is_forwarded(bench)


@pytest.mark.parametrize("is_proved", [True, False])
async def test_a_record_that_outlives_its_lease_ends_the_doubt_if_it_is_proved(
    autojump_clock: trio.testing.MockClock, is_proved: bool
) -> None:
    bench = await make_bench()
    proved_at = trio.current_time() + (2 * DEFAULT_RECORD_LEASE_S if is_proved else 0)
    bench.agent.admission.proof = FixedProof(proved_at=proved_at)
    bench.agent.on_standstill()

    await trio.sleep(DEFAULT_RECORD_LEASE_S + 0.1)

    assert is_forwarded(bench) is is_proved
