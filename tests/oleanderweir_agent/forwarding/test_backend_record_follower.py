from __future__ import annotations

from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow


async def test_the_record_of_the_newest_incarnation_is_used() -> None:
    bench = AgentBench()
    old = backend_document(host="10.0.0.1", started_at_ms=1000)
    publish(bench.register, backends={"b1": old})
    bench.agent.on_state_change()
    open_flow(bench, 1)
    new = backend_document(host="10.0.0.1", started_at_ms=2000)
    publish(bench.register, backends={"b1": old, "b2": new}, revision=11)
    bench.agent.on_state_change()

    publish(bench.register, backends={"b2": new, "b1": old}, revision=12)
    bench.agent.on_state_change()

    assert bench.agent.record_follower.backend_started_at_ms == 2000
