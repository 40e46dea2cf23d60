from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import pytest
import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Departure
from oleanderweir_agent.forwarding import ProbeOutcome
from oleanderweir_agent.forwarding.agent_program import AgentProgram
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import open_flow
from tests.oleanderweir_agent.forwarding.packets import answer
from tests.oleanderweir_agent.forwarding.packets import request


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.forwarding import BackendProbe


class FakeProbe:
    def __init__(self, *, refuses: bool) -> None:
        self.refuses = refuses

    async def probe(self) -> ProbeOutcome:
        return ProbeOutcome.REFUSED if self.refuses else ProbeOutcome.ACCEPTED


@pytest.mark.parametrize("refuses", [False, True])
async def test_a_drain_announces_a_departure_only_if_the_backend_server_stopped(
    refuses: bool, autojump_clock: trio.testing.MockClock
) -> None:
    bench = AgentBench()
    open_flow(bench, 1)
    bench.deliver(DeliveryPurpose.CONTINUE, request(1))
    bench.agent.on_backend_packet(answer(1))
    bench.to_callers()
    bench.to_peers()
    program = AgentProgram(
        agent=bench.agent,
        backend_socket=cast("UdpSocket", bench.backend_socket),
        probe=cast("BackendProbe", FakeProbe(refuses=refuses)),
    )
    bench.agent.on_probe_outcome(ProbeOutcome.ACCEPTED, checked_at=trio.current_time())
    await trio.sleep(1)

    await program.drain()

    departures = [
        message for message in bench.to_peers() if isinstance(message, Departure)
    ]
    assert len(departures) == refuses
    assert len(bench.to_callers()) == refuses
