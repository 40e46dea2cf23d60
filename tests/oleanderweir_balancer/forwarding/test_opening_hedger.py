from __future__ import annotations

import trio
import trio.testing

from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.hedging_policy import MAX_DELAY_S
from oleanderweir_balancer.forwarding.opening_hedger import MAX_LATENESS_S
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
COPY = encode_packet(KEY, is_opening=True, acknowledged=1)
CONTINUATION = encode_packet(KEY, payload_bytes=900, acknowledged=77, sequence=901)


def make_bench(
    *, max_hedged_share: float = 1.0, are_idempotent: bool = True, busy: int = 0
) -> BalancerBench:
    bench = BalancerBench(hosts=HOSTS, max_hedged_share=max_hedged_share)
    bench.publish(are_idempotent=are_idempotent)
    for host in HOSTS:
        bench.report(host, busy=busy)
    return bench


def place(bench: BalancerBench) -> str:
    """Have a new flow placed; return its agent."""
    bench.balancer.on_caller_packet(OPENING)
    [(host, _)] = bench.deliveries()
    return host


async def send_hedges(
    bench: BalancerBench, *, after_s: float = MAX_DELAY_S
) -> list[tuple[str, Delivery]]:
    """Return the deliveries of the hedges that are due after a time."""
    await trio.sleep(after_s)
    bench.balancer.hedger.send_due(now=trio.current_time())
    return bench.deliveries()


async def hedge(bench: BalancerBench) -> tuple[str, str]:
    """Have a flow placed and hedged; return its two agents."""
    first = place(bench)
    [(second, _)] = await send_hedges(bench)
    return first, second


async def test_a_slow_opening_goes_to_a_second_agent_before_the_callers_copy(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first = place(bench)
    assert await send_hedges(bench, after_s=MAX_DELAY_S / 2) == []

    [(second, message)] = await send_hedges(bench, after_s=MAX_DELAY_S / 2)

    assert second != first
    assert message.data == OPENING
    assert message.purpose is DeliveryPurpose.OPEN
    assert await send_hedges(bench) == []


async def test_only_idempotent_routes_are_hedged_and_only_if_there_is_a_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for bench in (make_bench(are_idempotent=False), make_bench(max_hedged_share=0.0)):
        place(bench)

        assert await send_hedges(bench) == []


async def test_a_route_that_stops_to_be_idempotent_is_not_hedged(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    place(bench)
    bench.publish(version=2, revision=20, are_idempotent=False)

    assert await send_hedges(bench) == []


async def test_nothing_is_hedged_while_the_service_is_loaded(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench(busy=4)
    place(bench)

    assert await send_hedges(bench) == []


async def test_an_opened_flow_is_not_hedged(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    place(bench)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    assert await send_hedges(bench) == []


async def test_an_opening_that_its_agent_returned_is_placed_again_and_not_hedged(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first = place(bench)
    bench.return_packet(first, ReturnReason.FULL, OPENING)
    assert len(bench.deliveries()) == 1

    assert await send_hedges(bench) == []


async def test_the_openings_of_a_pause_of_the_balancer_are_not_hedged(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    place(bench)

    assert await send_hedges(bench, after_s=MAX_DELAY_S + 2 * MAX_LATENESS_S) == []


async def test_a_burst_gets_no_more_hedges_than_the_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench(max_hedged_share=0.0625)
    for number in range(2, 50):
        bench.balancer.on_caller_packet(
            encode_packet(make_key(number), is_opening=True)
        )
    for host in HOSTS:
        bench.report(host)
    bench.deliveries()

    assert len(await send_hedges(bench)) == 3  # of 48 flows


async def test_packets_of_a_hedged_flow_go_to_both_agents_until_one_claims_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first, second = await hedge(bench)

    bench.balancer.on_caller_packet(REQUEST)

    sent = bench.deliveries()
    assert {host for host, _ in sent} == {first, second}
    assert {m.purpose for _, m in sent} == {DeliveryPurpose.HEDGED_QUERY}
    for owner, other in ((first, second), (second, first)):
        bench.balancer.on_message(owner, OwnerNotice(key=KEY))
        # The other agent denies the packet that it got before.
        bench.return_packet(other, ReturnReason.NOT_HELD, REQUEST)
        assert bench.deliveries() == []
        bench.balancer.on_caller_packet(CONTINUATION)
        [(host, message)] = bench.deliveries()
        assert (host, message.purpose) == (owner, DeliveryPurpose.CONTINUE)
        # The order of the other winner.
        flow = bench.balancer.cache.flows[KEY]
        flow.agent, flow.second_agent = first, second


async def test_a_denial_leaves_the_flow_to_the_other_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first, second = await hedge(bench)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    for data in (REQUEST, CONTINUATION):
        bench.return_packet(first, ReturnReason.NOT_HELD, data)

    assert bench.socket.pop_sent() == []
    bench.balancer.on_caller_packet(CONTINUATION)
    [(host, message)] = bench.deliveries()
    assert (host, message.purpose) == (second, DeliveryPurpose.CONTINUE)


async def test_denials_of_both_agents_start_a_lookup_and_no_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first, second = await hedge(bench)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet(first, ReturnReason.NOT_HELD, REQUEST)
    bench.return_packet(second, ReturnReason.NOT_HELD, REQUEST)

    sent = bench.deliveries()
    assert sent
    assert {m.purpose for _, m in sent} == {DeliveryPurpose.TABLE_QUERY}
    assert bench.resets() == []


async def test_a_hedged_flow_that_one_agent_lost_is_not_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first, second = await hedge(bench)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet(first, ReturnReason.LOST, REQUEST)
    bench.return_packet(second, ReturnReason.LOST, REQUEST)

    assert bench.resets() == []


async def test_a_returned_hedge_is_not_placed_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first, second = await hedge(bench)

    bench.return_packet(second, ReturnReason.BUSY, OPENING)
    assert bench.deliveries() == []

    bench.return_packet(first, ReturnReason.FULL, OPENING)
    [(third, _)] = bench.deliveries()
    assert third not in (first, second)


async def test_the_hedge_takes_the_place_of_the_retry_of_a_returned_opening(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    first, second = await hedge(bench)

    bench.return_packet(first, ReturnReason.UNANSWERED, OPENING)
    assert bench.deliveries() == []

    bench.balancer.on_caller_packet(REQUEST)
    [(host, _)] = bench.deliveries()
    assert host == second


async def test_the_callers_own_copy_goes_to_the_second_agent_only(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = make_bench()
    _, second = await hedge(bench)

    bench.balancer.on_caller_packet(COPY)

    [(host, _)] = bench.deliveries()
    assert host == second
