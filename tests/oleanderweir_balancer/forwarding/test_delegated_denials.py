from __future__ import annotations

import attrs
import trio
import trio.testing

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.flows import candidate_hosts
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnReason
from oleanderweir.peering.report_interval import keepalive_s
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_balancer.forwarding.bench import LARGE_FLEET
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.bench import make_agent_heartbeat
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


OWNER = "10.0.0.99"
OTHERS = {f"b{host}": backend_document(host=host) for host in LARGE_FLEET}
ALL = {**OTHERS, "owner": backend_document(host=OWNER)}


def look_up(bench: BalancerBench) -> str:
    """Receive a packet of an unknown flow; return the delegate of its lookup."""
    bench.balancer.on_caller_packet(REQUEST)
    [(delegate, message)] = bench.deliveries()
    assert message.purpose is DeliveryPurpose.DELEGATED_LOOKUP
    return delegate


async def test_a_delegate_resets_no_flow_whose_owner_has_an_entry_that_lapsed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    await trio.sleep(10.0)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    delegate = look_up(bench)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert [host for host, _ in bench.deliveries()] == [OWNER]
    bench.return_packet(OWNER, ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_delegate_resets_no_flow_of_a_backend_server_published_meanwhile() -> (
    None
):
    bench = BalancerBench()
    bench.publish(backends=OTHERS)
    delegate = look_up(bench)
    bench.publish(backends=ALL, revision=20)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert [host for host, _ in bench.deliveries()] == [OWNER]


async def test_a_second_delegate_resets_no_flow_whose_owner_lapsed_meanwhile(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    look_up(bench)
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()

    bench.return_packet(second, ReturnReason.HELD_NOWHERE, REQUEST)

    assert [host for host, _ in bench.deliveries()] == [OWNER]


async def test_a_departed_agent_does_not_delay_the_reset_after_a_delegated_lookup(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    await trio.sleep(10.0)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.members.record_departure(OWNER)
    bench.publish(backends=OTHERS, revision=20)
    delegate = look_up(bench)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert len(bench.resets()) == 1


async def test_a_live_agent_is_queried_after_a_delegate_although_its_entry_lapsed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    bench.members.record_activity(OWNER)
    delegate = look_up(bench)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert [host for host, _ in bench.deliveries()] == [OWNER]
    bench.return_packet(OWNER, ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_each_of_many_agents_with_lapsed_entries_is_queried_after_a_delegate(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    lapsed = {f"10.0.1.{n}" for n in range(1, 9)}
    entries = {f"b{host}": backend_document(host=host) for host in lapsed}
    bench.publish(backends={**OTHERS, **entries})
    for host in lapsed:
        bench.members.record_heartbeat(host, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    for host in lapsed:
        bench.members.record_activity(host)
    delegate = look_up(bench)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    [(second, message)] = bench.deliveries()
    assert second != delegate
    assert message.purpose is DeliveryPurpose.DELEGATED_LOOKUP
    assert set(message.hosts) == lapsed
    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)
    assert bench.socket.pop_sent() == []

    bench.return_packet(second, ReturnReason.HELD_NOWHERE, REQUEST)
    assert len(bench.resets()) == 1


async def test_agents_of_a_large_fleet_are_awaited_between_two_of_their_reports(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    lapsed = [f"10.0.1.{n}" for n in range(1, 161)]
    entries = {f"b{host}": backend_document(host=host) for host in lapsed}
    bench.publish(backends={**OTHERS, **entries})
    interval_s = keepalive_s(len(entries) + len(OTHERS))
    for host in lapsed:
        bench.members.record_heartbeat(host, make_agent_heartbeat())
    # This balancer misses most entries, the agents know all of them.
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    for host in lapsed:
        bench.members.record_activity(host)
    await trio.sleep(interval_s - 0.1)
    delegate = look_up(bench)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_live_agent_that_asks_its_backend_server_is_awaited(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    bench.members.record_activity(OWNER)
    delegate = look_up(bench)
    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)
    bench.deliveries()
    bench.return_packet(OWNER, ReturnReason.UNKNOWN, REQUEST)
    [(host, message)] = bench.deliveries()
    assert (host, message.purpose) == (OWNER, DeliveryPurpose.QUERY)

    # The backend server is busy.
    for _ in range(20):
        await trio.sleep(0.1)
        bench.members.record_activity(OWNER)
        bench.balancer.retry_lookups()
    assert bench.resets() == []

    bench.return_packet(OWNER, ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_pause_of_the_balancer_does_not_count_as_silence_of_an_agent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    bench.members.record_activity(OWNER)
    delegate = look_up(bench)
    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)
    assert [host for host, _ in bench.deliveries()] == [OWNER]

    # The reply of the owner waits in the socket of the balancer, which is paused.
    await trio.sleep(1.5)
    bench.balancer.retry_lookups()

    assert bench.resets() == []


async def test_a_copy_of_a_result_does_not_count_for_hosts_that_are_named_later() -> (
    None
):
    bench = BalancerBench()
    hosts = [f"10.0.1.{n}" for n in range(1, 200)]
    ranked = candidate_hosts(KEY, [*LARGE_FLEET, *hosts], count=239)
    lapsed = [host for host in ranked if host in hosts][:8]
    # The first delegate is an agent without a published backend server.
    published = set(ranked[ranked.index(lapsed[0]) :]) - set(hosts)
    entries = {f"b{host}": backend_document(host=host) for host in published}
    bench.publish(backends=entries)
    for host in lapsed:
        bench.members.record_heartbeat(host, make_agent_heartbeat())
    delegate = look_up(bench)
    assert delegate == lapsed[0]

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)
    [(second, message)] = bench.deliveries()
    assert set(message.hosts) == set(lapsed)
    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)
    assert bench.resets() == []

    bench.return_packet(second, ReturnReason.HELD_NOWHERE, REQUEST)
    assert len(bench.resets()) == 1


async def test_the_result_of_one_delegate_does_not_count_for_the_hosts_of_another(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    lapsed = [f"10.0.1.{n}" for n in range(1, 9)]
    entries = {f"b{host}": backend_document(host=host) for host in lapsed}
    bench.publish(backends={**OTHERS, **entries})
    for host in lapsed:
        bench.members.record_heartbeat(host, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    first = look_up(bench)
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    [(second, _)] = bench.deliveries()
    bench.return_packet(second, ReturnReason.HELD_NOWHERE, REQUEST)
    bench.deliveries()

    bench.return_packet(first, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_live_agent_is_queried_even_after_a_late_result_of_a_delegate(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    look_up(bench)
    # The first delegates are being restarted.
    for _ in range(4):
        await trio.sleep(0.4)
        bench.balancer.retry_lookups()
    *_, (delegate, _) = bench.deliveries()
    bench.members.record_activity(OWNER)

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert [host for host, _ in bench.deliveries()] == [OWNER]


async def test_a_late_result_of_an_earlier_lookup_does_not_count_for_the_current_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=OTHERS)
    look_up(bench)
    await trio.sleep(1.5)
    bench.balancer.retry_lookups()
    [(late, _)] = bench.deliveries()
    await trio.sleep(1.6)
    bench.balancer.expire()
    # This delegate hadn't received the entry of the owner when it was asked.
    bench.publish(backends=ALL, revision=20)
    assert look_up(bench) != late

    bench.return_packet(late, ReturnReason.HELD_NOWHERE, REQUEST)

    assert bench.resets() == []


async def test_a_balancer_that_discovers_agents_resets_no_flow_after_a_delegate(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    reply = attrs.evolve(make_agent_heartbeat(), agents=(OWNER,))
    bench.members.record_heartbeat("10.0.0.1", reply)
    bench.publish(backends=OTHERS)
    delegate = look_up(bench)
    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)
    assert bench.resets() == []

    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    await trio.sleep(0.15)
    bench.balancer.retry_lookups()

    assert [host for host, _ in bench.deliveries()] == [OWNER]


async def test_a_loss_of_all_power_leads_to_no_repeated_lookups_of_lost_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    # All backend servers have stopped with their machines; the agents run again.
    for host in LARGE_FLEET:
        bench.members.record_heartbeat(host, make_agent_heartbeat())
    bench.publish(backends={}, revision=20)
    bench.balancer.on_caller_packet(REQUEST)

    named: list[str] = []
    for _ in range(2):
        [(delegate, message)] = bench.deliveries()
        assert message.purpose is DeliveryPurpose.DELEGATED_LOOKUP
        named += message.hosts
        bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert sorted(named) == sorted(LARGE_FLEET)
    assert len(bench.resets()) == 1
    await trio.sleep(0.5)
    bench.balancer.retry_lookups()
    assert bench.deliveries() == []


async def test_a_result_that_lists_denials_covers_no_other_published_agent() -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    delegate = look_up(bench)

    # The delegate doesn't know the entry of the owner yet.
    bench.return_packet(
        delegate, ReturnReason.HELD_NOWHERE, REQUEST, hosts=tuple(LARGE_FLEET)
    )

    assert [host for host, _ in bench.deliveries()] == [OWNER]
    bench.return_packet(OWNER, ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_agents_that_denied_to_one_delegate_are_not_named_to_the_next(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    delegate = look_up(bench)
    denied = tuple(sorted(set(LARGE_FLEET) - {delegate})[:20])
    bench.return_packet(delegate, ReturnReason.PARTLY_DENIED, REQUEST, hosts=denied)
    assert bench.socket.pop_sent() == []

    named: set[str] = set()
    for _ in range(20):
        await trio.sleep(0.1)
        bench.balancer.retry_lookups()
        named |= {h for _, m in bench.deliveries() for h in m.hosts}

    assert named
    assert not named & set(denied)


async def test_denials_of_an_earlier_lookup_do_not_count_for_the_current_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    delegate = look_up(bench)
    stranger = next(host for host in LARGE_FLEET if host != delegate)

    bench.return_packet(
        stranger, ReturnReason.PARTLY_DENIED, REQUEST, hosts=tuple(LARGE_FLEET)
    )

    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    assert bench.deliveries() != []
    assert bench.resets() == []


async def test_a_lookup_is_not_delegated_again_while_its_delegate_continues(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    delegate = look_up(bench)

    for _ in range(10):
        bench.return_packet(delegate, ReturnReason.PARTLY_DENIED, REQUEST)
        await trio.sleep(0.15)
        bench.balancer.retry_lookups()
        bench.balancer.on_caller_packet(REQUEST)

    assert bench.deliveries() == []


async def test_a_lookup_is_delegated_again_once_its_delegate_is_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    delegate = look_up(bench)
    bench.return_packet(delegate, ReturnReason.PARTLY_DENIED, REQUEST)
    await trio.sleep(0.55)

    bench.balancer.retry_lookups()

    [(second, message)] = bench.deliveries()
    assert second != delegate
    assert message.purpose is DeliveryPurpose.DELEGATED_LOOKUP


async def test_an_agent_that_no_delegate_knows_is_queried_while_one_continues(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=OTHERS)
    delegate = look_up(bench)
    # Its backend server isn't published.
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    for _ in range(5):
        bench.return_packet(delegate, ReturnReason.PARTLY_DENIED, REQUEST)
        await trio.sleep(0.15)
        bench.balancer.retry_lookups()

    assert [host for host, _ in bench.deliveries()] == [OWNER]


async def test_a_request_is_not_held_back_for_the_lookup_of_an_acknowledgement(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(encode_packet(KEY, acknowledged=77))
    [(delegate, _)] = bench.deliveries()
    await trio.sleep(0.2)
    # The delegate got no answer, and doesn't repeat its queries.
    bench.return_packet(delegate, ReturnReason.PARTLY_DENIED, REQUEST)

    bench.balancer.on_caller_packet(REQUEST)

    [(_, message)] = bench.deliveries()
    assert message.purpose is DeliveryPurpose.DELEGATED_LOOKUP
    assert message.data == REQUEST


async def test_a_named_agent_that_does_not_deny_is_queried_before_it_is_ruled_out(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish(backends=ALL)
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.publish(backends=OTHERS, revision=20)
    bench.members.record_heartbeat("10.0.0.98", make_agent_heartbeat())
    delegate = look_up(bench)
    for _ in range(60):
        await trio.sleep(0.05)
        bench.members.record_activity(OWNER)
        bench.return_packet(
            delegate, ReturnReason.PARTLY_DENIED, REQUEST, hosts=LARGE_FLEET
        )
        bench.balancer.retry_lookups()

    assert OWNER in {host for host, _ in bench.deliveries()}
    assert bench.resets() == []


async def test_an_agent_that_restarted_after_the_query_is_queried_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=("10.0.0.1", "10.0.0.2"))
    bench.publish()
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    for _ in range(33):
        await trio.sleep(0.05)
        bench.balancer.retry_lookups()
    bench.deliveries()

    # The next round of queries would be over a second later.
    bench.members.record_heartbeat(OWNER, make_agent_heartbeat())
    for _ in range(5):
        await trio.sleep(0.05)
        bench.balancer.retry_lookups()

    assert [host for host, _ in bench.deliveries()] == [OWNER]
