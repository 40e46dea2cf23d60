from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio
import trio.testing

from oleanderweir.net import Datagram
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.balancer_program import BalancerProgram
from oleanderweir_balancer.forwarding.hedging_policy import MAX_DELAY_S
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket


class SilentSocket:
    """A socket that receives no datagrams."""

    async def receive_batch(self) -> list[Datagram]:
        await trio.sleep(float("inf"))
        return []


class LateSocket:
    """A socket that has one datagram to read once ``deliver`` was called."""

    def __init__(self) -> None:
        self.is_readable = trio.Event()

    def deliver(self) -> None:
        self.is_readable.set()

    async def receive_batch(self) -> list[Datagram]:
        await self.is_readable.wait()
        self.is_readable = trio.Event()
        return [Datagram(data=OPENING, source=("100.64.0.1", 40000))]


class SkewedClock:
    """The clock of trio, and the time for which the machine was suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return trio.current_time() + self.suspended_s


async def refuse_everywhere(bench: BalancerBench) -> None:
    await trio.testing.wait_all_tasks_blocked()
    for _ in range(3):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.FULL, OPENING)


async def test_a_suspended_balancer_resets_no_flow_that_a_copy_opened_meanwhile(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    late_socket = LateSocket()
    clock = SkewedClock()
    program = BalancerProgram(
        balancer=bench.balancer,
        packet_socket=cast("UdpSocket", late_socket),
        grace_s=6.0,
        clock=clock,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(program.run)
        await trio.sleep(2.0)
        late_socket.deliver()
        clock.suspended_s = 0.5

        await refuse_everywhere(bench)

        assert bench.resets() == []
        nursery.cancel_scope.cancel()


async def test_a_balancer_that_was_not_suspended_resets_a_refused_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    late_socket = LateSocket()
    program = BalancerProgram(
        balancer=bench.balancer,
        packet_socket=cast("UdpSocket", late_socket),
        grace_s=6.0,
        clock=trio.current_time,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(program.run)
        await trio.sleep(2.0)
        late_socket.deliver()

        await refuse_everywhere(bench)

        assert len(bench.resets()) == 1
        nursery.cancel_scope.cancel()


async def test_the_program_retries_unanswered_lookups(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    program = BalancerProgram(
        balancer=bench.balancer,
        packet_socket=cast("UdpSocket", SilentSocket()),
        grace_s=6.0,
        clock=trio.current_time,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(program.run)
        bench.balancer.on_caller_packet(REQUEST)
        bench.deliveries()

        await trio.sleep(0.3)

        assert {host for host, _ in bench.deliveries()} == {"10.0.0.1", "10.0.0.2"}
        nursery.cancel_scope.cancel()


async def test_the_program_hedges_slow_openings(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(max_hedged_share=1.0)
    bench.publish(are_idempotent=True)
    for host in bench.hosts:
        bench.report(host)
    program = BalancerProgram(
        balancer=bench.balancer,
        packet_socket=cast("UdpSocket", SilentSocket()),
        grace_s=6.0,
        clock=trio.current_time,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(program.run)
        bench.balancer.on_caller_packet(OPENING)
        [(first, _)] = bench.deliveries()

        await trio.sleep(MAX_DELAY_S + 0.01)

        [(second, _)] = bench.deliveries()
        assert second != first
        nursery.cancel_scope.cancel()
