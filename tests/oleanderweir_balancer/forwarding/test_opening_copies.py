from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.opening_attempts import MAX_REFUSALS
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import CALLER_PORT
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench


KEY = make_key(1)
OPENING = encode_packet(KEY, is_opening=True)
COPY = encode_packet(KEY, is_opening=True, acknowledged=1)
REQUEST = encode_packet(KEY, payload_bytes=100)
# Routes without that of the flow.
OTHER_ROUTE = {2: "feed"}


async def test_refusals_of_a_copy_do_not_reset_a_flow_placed_by_another_balancer() -> (
    None
):
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    # The first opening packet took another balancer; its backend server is answering.
    bench.balancer.on_caller_packet(COPY)

    for _ in range(3):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.FULL, COPY)

    assert bench.resets() == []


async def test_a_copy_without_a_ready_backend_server_does_not_reset_its_flow() -> None:
    bench = BalancerBench(hosts=("10.0.0.1",))
    draining = backend_document(host="10.0.0.1", state="draining")
    bench.publish(backends={"b0": draining})

    bench.balancer.on_caller_packet(COPY)

    assert bench.resets() == []


async def test_late_refusals_reset_no_flow_whose_copy_another_balancer_placed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)

    for _ in range(3):
        [(host, _)] = bench.deliveries()
        # The agents are slow: the caller sends a copy in the meantime.
        await trio.sleep(0.1)
        bench.return_packet(host, ReturnReason.FULL, OPENING)

    assert bench.resets() == []


async def test_a_late_refusal_of_one_agent_resets_no_flow_that_another_one_opens(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    for _ in range(2):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.FULL, OPENING)
    [(slow, _)] = bench.deliveries()
    bench.report(slow)
    await trio.sleep(1.2)
    bench.balancer.on_caller_packet(COPY)
    [(other, _)] = bench.deliveries()
    assert other != slow

    bench.return_packet(slow, ReturnReason.FULL, OPENING)

    assert bench.resets() == []


async def test_an_unanswered_opening_is_not_forgotten_because_of_many_other_refusals(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(late, _)] = bench.deliveries()
    bench.return_packet(late, ReturnReason.UNANSWERED, OPENING)
    [(host, _)] = bench.deliveries()
    for number in range(2, 4000):
        other = encode_packet(make_key(number), is_opening=True)
        bench.balancer.on_caller_packet(other)
        [(refusing, _)] = bench.deliveries()
        bench.return_packet(refusing, ReturnReason.BUSY, other)
        bench.socket.pop_sent()

    bench.balancer.expire()

    for _ in range(MAX_REFUSALS):
        bench.return_packet(host, ReturnReason.FULL, OPENING)
        for _, (receiver, port) in bench.socket.pop_sent():
            assert port != CALLER_PORT
            host = receiver


async def test_refusals_are_not_kept_after_the_caller_has_given_up(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(host, _)] = bench.deliveries()
    bench.return_packet(host, ReturnReason.FULL, OPENING)
    bench.socket.pop_sent()
    for _ in range(3):
        await trio.sleep(1.0)
        bench.balancer.expire()

    assert bench.balancer.opening_placer.attempts == {}


async def test_an_opening_that_waited_for_the_published_state_resets_no_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.balancer.on_caller_packet(OPENING)
    # Another balancer places the caller's copy in the meantime.
    await trio.sleep(0.5)
    bench.publish()
    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)

    for _ in range(MAX_REFUSALS):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.FULL, OPENING)

    assert bench.resets() == []


async def test_an_opening_that_waited_until_its_caller_gave_up_is_not_placed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.balancer.on_caller_packet(OPENING)
    await trio.sleep(1.5)

    bench.publish()
    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)

    assert bench.deliveries() == []


async def test_a_queued_opening_packet_moves_no_flow_that_was_claimed_meanwhile(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.balancer.on_caller_packet(OPENING)
    await trio.sleep(0.3)
    # The caller's copy opened the flow through another balancer.
    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))
    bench.publish()

    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)

    assert bench.deliveries() == []
    bench.balancer.on_caller_packet(REQUEST)
    [(host, message)] = bench.deliveries()
    assert host == "10.0.0.2"
    assert message.purpose is DeliveryPurpose.CONTINUE


async def test_an_opening_packet_that_arrived_after_a_claim_opens_a_new_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))
    await trio.sleep(1.0)

    bench.balancer.on_caller_packet(OPENING)

    [(_, message)] = bench.deliveries()
    assert message.purpose is DeliveryPurpose.OPEN


async def test_a_copy_without_a_route_in_an_older_state_resets_no_open_flow() -> None:
    bench = BalancerBench()
    # Another balancer knows the route already, and has placed the first packet.
    bench.publish(routes=OTHER_ROUTE)

    bench.balancer.on_caller_packet(COPY)

    assert bench.resets() == []


async def test_a_queued_opening_packet_without_a_route_resets_no_open_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.balancer.on_caller_packet(OPENING)
    await trio.sleep(0.3)
    bench.publish(
        routes=OTHER_ROUTE, backends={"b0": backend_document(host="10.0.0.1")}
    )

    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)

    assert bench.balancer.opening_placer.queued_openings == []
    assert bench.resets() == []


async def test_a_new_flow_without_a_route_is_reset_at_once() -> None:
    bench = BalancerBench()
    bench.publish(routes=OTHER_ROUTE)

    bench.balancer.on_caller_packet(OPENING)

    assert len(bench.resets()) == 1


async def test_a_delayed_opening_packet_lets_no_open_flow_be_reset_as_lost() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING, waited_s=2.0)
    [(agent, _)] = bench.deliveries()

    # A copy opened the flow at the other backend server; this one returns its packet.
    bench.balancer.on_caller_packet(REQUEST)
    bench.return_packet(agent, ReturnReason.LOST, REQUEST)

    assert bench.resets() == []


async def test_a_flow_that_a_late_placement_lost_is_looked_up() -> None:
    bench = BalancerBench()
    bench.publish()
    # The first opening packet went through another balancer.
    bench.balancer.on_caller_packet(COPY)
    [(agent, _)] = bench.deliveries()
    [other] = set(bench.hosts) - {agent}
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet(agent, ReturnReason.LOST, REQUEST)

    [(host, message)] = bench.deliveries()
    assert host == other
    assert message.purpose is DeliveryPurpose.TABLE_QUERY


async def test_a_flow_whose_only_placement_lost_it_is_reset_at_once() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(agent, _)] = bench.deliveries()
    bench.balancer.on_caller_packet(REQUEST)

    bench.return_packet(agent, ReturnReason.LOST, REQUEST)

    assert len(bench.resets()) == 1
