from __future__ import annotations

from oleanderweir.peering.messages import DeliveryPurpose
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.packets import ANSWER
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST


async def test_packets_are_forwarded_in_both_directions() -> None:
    bench = AgentBench()
    publish(bench.register, backends={"b1": backend_document(host="10.0.0.1")})

    bench.deliver(DeliveryPurpose.OPEN, OPENING, version=1)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST, version=1)
    bench.agent.on_backend_packet(ANSWER)

    assert bench.to_backend() == [OPENING, REQUEST]
    assert bench.to_callers() == [OPENED, ANSWER]
