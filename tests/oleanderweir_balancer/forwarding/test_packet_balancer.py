from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from oleanderweir.flows import LOOKUP_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.report_interval import MIN_SILENCE_S
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import LARGE_FLEET
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


async def test_an_opening_packet_and_its_copies_go_to_one_agent() -> None:
    bench = BalancerBench()
    bench.publish()

    bench.balancer.on_caller_packet(OPENING)
    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=1))
    bench.balancer.on_caller_packet(REQUEST)

    sent = bench.deliveries()
    assert len({host for host, _ in sent}) == 1
    assert [message.purpose for _, message in sent] == [
        DeliveryPurpose.OPEN,
        DeliveryPurpose.OPEN,
        DeliveryPurpose.CONTINUE,
    ]


async def test_a_flow_without_a_route_is_reset_at_once() -> None:
    bench = BalancerBench()
    bench.publish()

    bench.balancer.on_caller_packet(
        encode_packet(make_key(1, route=9), is_opening=True)
    )

    [(data, (host, _))] = bench.resets()
    packet = EmulatedPacketCodec().decode_from_caller(data)
    assert packet is not None
    assert packet.is_reset
    assert host == "100.64.0.1"


async def test_nothing_is_reset_before_the_first_published_state() -> None:
    bench = BalancerBench()

    bench.balancer.on_caller_packet(OPENING)

    assert bench.socket.pop_sent() == []
    bench.publish()
    bench.balancer.on_state_change(next(iter(bench.register.topics)))
    assert len(bench.deliveries()) == 1


async def test_a_silent_agent_gets_no_new_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.report("10.0.0.1")
    await trio.sleep(MIN_SILENCE_S + 0.1)
    bench.report("10.0.0.2")

    for number in range(20):
        bench.balancer.on_caller_packet(
            encode_packet(make_key(number), is_opening=True)
        )

    assert {host for host, _ in bench.deliveries()} == {"10.0.0.2"}


async def test_a_repeated_opening_packet_avoids_a_silent_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.report("10.0.0.1")
    bench.report("10.0.0.2")
    bench.balancer.on_caller_packet(OPENING)
    [(first, _)] = bench.deliveries()
    await trio.sleep(MIN_SILENCE_S + 0.1)
    other = "10.0.0.2" if first == "10.0.0.1" else "10.0.0.1"
    bench.report(other)

    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=1))

    assert [host for host, _ in bench.deliveries()] == [other]


async def test_a_new_flow_is_queued_until_backend_servers_are_listed() -> None:
    bench = BalancerBench()
    bench.publish()
    backends = bench.register.topics[Topic.BACKEND_SERVERS]
    backends.revision = 0
    bench.register.backends.clear()
    bench.register.by_service = None

    bench.balancer.on_caller_packet(OPENING)

    assert bench.resets() == []
    bench.publish(revision=20)
    bench.balancer.on_state_change(Topic.BACKEND_SERVERS)
    assert len(bench.deliveries()) == 1


async def test_an_opening_packet_goes_to_a_candidate_of_the_lookup() -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    for number in range(30):
        key = make_key(number)

        bench.balancer.on_caller_packet(encode_packet(key, is_opening=True))

        [(host, _)] = bench.deliveries()
        assert host in candidate_hosts(key, LARGE_FLEET, count=LOOKUP_CANDIDATES)
