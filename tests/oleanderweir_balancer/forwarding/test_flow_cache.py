from __future__ import annotations

import trio
import trio.testing

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnReason
from oleanderweir.peering.report_interval import MIN_SILENCE_S
from oleanderweir_balancer.forwarding.flow_cache import CLOSED_BY_CALLER_TTL_S
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_balancer.forwarding.bench import LARGE_FLEET
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


async def test_a_loss_reported_by_another_agent_than_the_owner_is_ignored() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))

    bench.return_packet("10.0.0.1", ReturnReason.LOST, REQUEST)

    [(host, message)] = bench.deliveries()
    assert host == "10.0.0.2"
    assert message.purpose is DeliveryPurpose.CONTINUE


async def test_a_returned_copy_of_an_opening_packet_does_not_move_an_open_flow() -> (
    None
):
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    [(owner, _)] = bench.deliveries()
    copy = encode_packet(KEY, is_opening=True, acknowledged=1)
    bench.balancer.on_caller_packet(copy)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet(owner, ReturnReason.DRAINING, copy)

    assert bench.deliveries() == []
    bench.balancer.on_caller_packet(REQUEST)
    assert owner in {host for host, _ in bench.deliveries()}


async def test_a_late_negative_lookup_resets_no_flow_whose_owner_was_found(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _)] = bench.deliveries()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()
    bench.balancer.on_message(second, OwnerNotice(key=KEY, host="10.0.0.7"))
    bench.socket.pop_sent()

    bench.return_packet(first, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_negative_lookup_of_the_owner_itself_is_no_denial_of_its_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _)] = bench.deliveries()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()
    # The first delegate is the owner, which the second one found.
    bench.balancer.on_message(second, OwnerNotice(key=KEY, host=first))
    bench.socket.pop_sent()

    bench.return_packet(first, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_late_opening_packet_does_not_move_an_open_flow_of_a_silent_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.report("10.0.0.1")
    bench.report("10.0.0.2")
    bench.balancer.on_caller_packet(OPENING)
    [(owner, _)] = bench.deliveries()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    await trio.sleep(MIN_SILENCE_S + 0.1)
    [other] = {"10.0.0.1", "10.0.0.2"} - {owner}
    bench.report(other)

    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=2))
    bench.deliveries()
    bench.balancer.on_caller_packet(REQUEST)

    assert {host for host, _ in bench.deliveries()} == {owner}


async def test_a_late_opening_packet_resets_no_open_flow_of_a_silent_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=("10.0.0.1",))
    bench.publish()
    bench.report("10.0.0.1")
    bench.balancer.on_caller_packet(OPENING)
    bench.balancer.on_caller_packet(REQUEST)
    await trio.sleep(MIN_SILENCE_S + 0.1)
    draining = backend_document(host="10.0.0.1", state="draining")
    bench.publish(backends={"b0": draining}, revision=20)
    bench.socket.pop_sent()

    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=2))

    assert bench.resets() == []


async def test_a_new_flow_from_a_port_used_before_is_placed_again_when_returned() -> (
    None
):
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(OPENING)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    opening = encode_packet(KEY, is_opening=True, sequence=70000)
    bench.balancer.on_caller_packet(opening)
    [(former, _)] = bench.deliveries()

    bench.return_packet(former, ReturnReason.DRAINING, opening)

    assert {host for host, _ in bench.deliveries()} == {
        "10.0.0.1",
        "10.0.0.2",
    } - {former}


async def test_an_owner_is_cached_for_some_seconds_after_a_final_packet(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_message("10.0.0.2", OwnerNotice(key=KEY))
    final = encode_packet(KEY, is_final=True)
    bench.balancer.on_caller_packet(final)
    bench.deliveries()

    await trio.sleep(CLOSED_BY_CALLER_TTL_S)
    bench.balancer.expire()
    bench.balancer.on_caller_packet(final)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.2"]

    await trio.sleep(CLOSED_BY_CALLER_TTL_S + 0.1)
    bench.balancer.expire()
    bench.balancer.on_caller_packet(final)
    assert {message.purpose for _, message in bench.deliveries()} == {
        DeliveryPurpose.TABLE_QUERY
    }
