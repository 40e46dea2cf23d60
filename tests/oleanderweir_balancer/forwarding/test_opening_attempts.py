from __future__ import annotations

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


async def test_a_returned_opening_packet_goes_to_another_backend_server() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()

    bench.return_packet(first, ReturnReason.DRAINING, OPENING)

    [(second, message)] = bench.deliveries()
    assert second != first
    assert message.purpose is DeliveryPurpose.OPEN


async def test_the_third_agent_must_accept_after_two_busy_rejections() -> None:
    hosts = tuple(f"10.0.0.{n}" for n in range(1, 7))
    bench = BalancerBench(hosts=hosts)
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)

    tried = []
    purposes = []
    for _ in range(3):
        [(host, message)] = bench.deliveries()
        tried.append(host)
        purposes.append(message.purpose)
        bench.return_packet(host, ReturnReason.BUSY, OPENING)

    assert len(set(tried)) == 3
    assert purposes == [
        DeliveryPurpose.OPEN,
        DeliveryPurpose.OPEN,
        DeliveryPurpose.OPEN_AS_LAST_RESORT,
    ]


async def test_a_busy_agent_must_accept_a_flow_if_all_agents_are_busy() -> None:
    bench = BalancerBench(hosts=("10.0.0.1",))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.BUSY, OPENING)

    [(host, message)] = bench.deliveries()
    assert host == "10.0.0.1"
    assert message.purpose is DeliveryPurpose.OPEN_AS_LAST_RESORT


async def test_a_flow_that_all_agents_rejected_is_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    bench.return_packet(first, ReturnReason.FULL, OPENING)
    [(second, _)] = bench.deliveries()

    bench.return_packet(second, ReturnReason.FULL, OPENING)

    assert len(bench.resets()) == 1


async def test_a_rejected_opening_packet_resets_no_flow_that_opened_meanwhile() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    bench.return_packet(first, ReturnReason.UNANSWERED, OPENING)
    [(second, _)] = bench.deliveries()
    # The first backend server answered late, and the caller acknowledged its answer.
    bench.balancer.on_caller_packet(REQUEST)
    bench.socket.pop_sent()

    bench.return_packet(second, ReturnReason.FULL, OPENING)

    assert bench.resets() == []


async def test_unanswered_opening_packets_reset_no_flow() -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)

    # Any of the backend servers may answer late; the caller's next packets may then
    # reach another balancer.
    for _ in range(3):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.UNANSWERED, OPENING)

    assert bench.resets() == []


async def test_after_three_cold_rejections_the_next_agent_is_the_last_resort() -> None:
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 9)))
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)

    tried = []
    purposes = []
    for _ in range(6):
        [(host, message)] = bench.deliveries()
        tried.append(host)
        purposes.append(message.purpose)
        bench.return_packet(host, ReturnReason.COLD, OPENING)

    assert len(set(tried)) == 6
    assert purposes[:3] == [DeliveryPurpose.OPEN] * 3
    assert purposes[3:] == [DeliveryPurpose.OPEN_AS_LAST_RESORT] * 3
    assert len(bench.resets()) == 1


async def test_a_cold_one_is_tried_again_only_after_the_busy_one() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    bench.return_packet(first, ReturnReason.COLD, OPENING)
    [(second, _)] = bench.deliveries()
    bench.return_packet(second, ReturnReason.BUSY, OPENING)

    [(third, _)] = bench.deliveries()
    bench.return_packet(third, ReturnReason.FULL, OPENING)
    [(fourth, message)] = bench.deliveries()
    bench.return_packet(fourth, ReturnReason.COLD, OPENING)

    assert (third, fourth) == (second, first)
    assert message.purpose is DeliveryPurpose.OPEN_AS_LAST_RESORT
    assert len(bench.resets()) == 1
