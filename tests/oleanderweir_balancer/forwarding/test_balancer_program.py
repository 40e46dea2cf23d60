from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio
import trio.testing

from oleanderweir_balancer.forwarding.balancer_program import BalancerProgram
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


if TYPE_CHECKING:
    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket


class SilentSocket:
    """A socket that receives no datagrams."""

    async def receive_batch(self) -> list[Datagram]:
        await trio.sleep(float("inf"))
        return []


async def test_the_program_retries_unanswered_lookups(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    program = BalancerProgram(
        balancer=bench.balancer,
        packet_socket=cast("UdpSocket", SilentSocket()),
        grace_s=6.0,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(program.run)
        bench.balancer.on_caller_packet(REQUEST)
        bench.deliveries()

        await trio.sleep(0.3)

        assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.2"}
        nursery.cancel_scope.cancel()
