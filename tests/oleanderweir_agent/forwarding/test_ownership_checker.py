from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir_agent.forwarding.bench import AgentBench
from tests.oleanderweir_agent.forwarding.bench import simulate_backend_crash
from tests.oleanderweir_agent.forwarding.packets import REQUEST


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
