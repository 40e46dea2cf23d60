from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.packets import ANSWER
from tests.oleanderweir_agent.forwarding.packets import OPENED
from tests.oleanderweir_agent.forwarding.packets import OPENING
from tests.oleanderweir_agent.forwarding.packets import REQUEST


if TYPE_CHECKING:
    import trio.testing


async def test_reports_count_requests_in_flight(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    bench.deliver(DeliveryPurpose.OPEN, OPENING)
    bench.agent.on_backend_packet(OPENED)
    bench.deliver(DeliveryPurpose.CONTINUE, REQUEST)
    await bench.pass_time(0.1)
    reports = [
        message for message in bench.to_peers() if isinstance(message, LoadReport)
    ]
    assert reports[-1].busy == 1

    bench.agent.on_backend_packet(ANSWER)
    await bench.pass_time(0.1)

    reports = [
        message for message in bench.to_peers() if isinstance(message, LoadReport)
    ]
    assert reports[-1].busy == 0
    assert reports[-1].service_ms == 100.0
