from __future__ import annotations

import attrs
import pytest
import trio
import trio.testing

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.peering.members import AGENT_RESTART_S
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir_balancer.forwarding.bench import CALLER_PORT
from tests.oleanderweir_balancer.forwarding.bench import LARGE_FLEET
from tests.oleanderweir_balancer.forwarding.bench import MIXED
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.bench import make_agent_heartbeat
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import OPENING
from tests.oleanderweir_balancer.forwarding.packets import REQUEST


# After the last write of a backend server.
ENTRY_LEASE_S = 2.3


async def test_a_flow_is_reset_only_after_every_agent_denied_it() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    [(data, _)] = bench.resets()
    packet = EmulatedPacketCodec().decode_from_caller(data)
    assert packet is not None
    assert packet.sequence == 77


async def test_a_flow_is_reset_only_after_agents_of_all_services_denied_it() -> None:
    bench = BalancerBench()
    bench.publish(routes={1: "archive"}, backends=MIXED)
    bench.balancer.on_caller_packet(REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.3"]

    bench.return_packet("10.0.0.3", ReturnReason.NOT_HELD, REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.1"]

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_flow_is_reset_once_its_last_possible_owner_is_unpublished(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    bench.socket.pop_sent()
    remaining = {"b0": backend_document(host="10.0.0.1")}
    bench.publish(backends=remaining, revision=20)
    await trio.sleep(0.4)

    bench.balancer.on_caller_packet(REQUEST)

    assert len(bench.resets()) == 1


async def test_a_flow_without_an_owner_in_a_large_fleet_is_reset() -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(delegate, _)] = bench.deliveries()

    bench.return_packet(delegate, ReturnReason.HELD_NOWHERE, REQUEST)

    assert len(bench.resets()) == 1


async def test_a_silent_unpublished_agent_does_not_delay_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    # The instance of this agent was lost, and the entry ended with its lease.
    bench.members.record_heartbeat("10.0.0.3", make_agent_heartbeat())
    await trio.sleep(ENTRY_LEASE_S)
    bench.publish(revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert len(bench.resets()) == 1


async def test_an_unpublished_agent_that_restarts_delays_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat("10.0.0.3", make_agent_heartbeat())
    # The entry of its backend server lapses; the agent is killed seconds later.
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    bench.members.record_activity("10.0.0.3")
    await trio.sleep(1.5)
    bench.balancer.on_caller_packet(REQUEST)
    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    for _ in range(70):
        await trio.sleep(0.05)
        bench.balancer.retry_lookups()

    assert len(bench.resets()) == 1


async def test_a_recently_unpublished_agent_delays_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat("10.0.0.3", make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_denials_before_the_first_listing_do_not_reset_a_flow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.members.record_heartbeat("10.0.0.1", make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    assert [host for host, _ in bench.deliveries()] == ["10.0.0.1"]

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []
    bench.publish()
    await trio.sleep(0.2)
    bench.balancer.retry_lookups()
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}
    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_departed_agent_does_not_delay_a_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    bench.members.record_departure("10.0.0.2")

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert len(bench.resets()) == 1


async def test_an_unpublished_agent_without_flows_does_not_delay_a_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat(
        "10.0.0.3", make_agent_heartbeat(holds_no_flows=True)
    )
    bench.balancer.on_caller_packet(REQUEST)
    assert len(bench.deliveries()) == 3

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert len(bench.resets()) == 1


async def test_a_published_agent_delays_a_reset_even_without_flows() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat(
        "10.0.0.2", make_agent_heartbeat(holds_no_flows=True)
    )
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_an_agent_that_returned_after_its_departure_delays_a_reset() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_departure("10.0.0.2")
    bench.members.record_activity("10.0.0.2")
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_a_final_packet_is_looked_up_until_every_agent_has_denied(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    closing = encode_packet(KEY, is_final=True, acknowledged=77)
    bench.balancer.on_caller_packet(closing)
    queried = [host for host, _ in bench.deliveries()]
    await trio.sleep(0.5)
    bench.balancer.retry_lookups()
    assert [host for host, _ in bench.deliveries()] == queried

    for host in queried:
        assert bench.resets() == []
        bench.return_packet(host, ReturnReason.NOT_HELD, closing)

    assert len(bench.resets()) == 1


async def test_a_loss_counts_as_a_denial_while_the_owner_is_unknown() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.LOST, REQUEST)
    assert bench.resets() == []

    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_restarted_backend_server_of_a_departed_agent_delays_a_reset(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_departure("10.0.0.2")
    await trio.sleep(1.0)
    # Started and published after the departure; its agent's messages were lost.
    backends = {
        "b0": backend_document(host="10.0.0.1"),
        "b2": backend_document(host="10.0.0.2", started_at_ms=5000),
    }
    bench.publish(backends=backends, revision=20)
    bench.balancer.on_caller_packet(REQUEST)
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_an_old_report_of_no_flows_rules_no_lapsed_backend_server_out(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    # The agent started before its backend server listened.
    bench.members.record_heartbeat(
        "10.0.0.2", make_agent_heartbeat(holds_no_flows=True)
    )
    await trio.sleep(1.0)
    bench.publish()
    await trio.sleep(1.0)
    # The entry lapses while the source is away; the backend server serves on.
    bench.publish(backends={"b0": backend_document(host="10.0.0.1")}, revision=20)
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_an_unreadable_entry_rules_its_backend_server_out_only_after_the_grace(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    # Another writer wrote the entry of a backend server that serves on.
    backends = {"b0": backend_document(host="10.0.0.1"), "b1": b"not JSON"}
    bench.publish(backends=backends, revision=20)
    bench.members.record_heartbeat("10.0.0.2", make_agent_heartbeat())
    bench.balancer.on_caller_packet(REQUEST)
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_a_live_agent_is_awaited_although_its_entry_lapsed_long_ago(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat("10.0.0.2", make_agent_heartbeat())
    # The source rejects the writes of a backend server that serves on.
    bench.publish(backends={"b0": backend_document(host="10.0.0.1")}, revision=20)
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    bench.members.record_activity("10.0.0.2")
    bench.balancer.on_caller_packet(REQUEST)
    assert "10.0.0.2" in {host for host, _ in bench.deliveries()}

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


async def test_a_report_before_its_backend_server_started_rules_no_live_agent_out(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat(
        "10.0.0.3", make_agent_heartbeat(holds_no_flows=True)
    )
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    # Its backend server has started; other balancers have received the entry already.
    bench.members.record_activity("10.0.0.3")
    bench.balancer.on_caller_packet(REQUEST)
    assert len(bench.deliveries()) == 3

    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)

    assert bench.resets() == []


async def test_a_live_unpublished_agent_that_does_not_reply_delays_a_reset_briefly(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    bench.publish()
    bench.members.record_heartbeat("10.0.0.3", make_agent_heartbeat())
    await trio.sleep(REMOVAL_GRACE_S + 1.0)
    bench.members.record_activity("10.0.0.3")
    bench.balancer.on_caller_packet(REQUEST)
    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    bench.socket.pop_sent()

    for _ in range(40):
        await trio.sleep(0.05)
        bench.members.record_activity("10.0.0.3")
        bench.balancer.retry_lookups()

    assert len(bench.resets()) == 1


async def test_a_balancer_that_discovers_agents_resets_no_flow_of_a_lapsed_entry(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench()
    # The balancer has just started: its peers list an agent that it doesn't know yet.
    reply = attrs.evolve(make_agent_heartbeat(), agents=("10.0.0.99",))
    bench.members.record_heartbeat("10.0.0.1", reply)
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    bench.deliveries()
    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    bench.members.record_heartbeat("10.0.0.99", make_agent_heartbeat())
    await trio.sleep(0.15)
    bench.balancer.retry_lookups()

    assert [host for host, _ in bench.deliveries()] == ["10.0.0.99"]
    bench.return_packet("10.0.0.99", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


@pytest.mark.parametrize(
    ("reply", "known_for_s"),
    [
        (attrs.evolve(make_agent_heartbeat(), balancers=("10.0.0.99",)), 0.0),
        # A listed agent has been heard by a peer, and may be restarting.
        (
            attrs.evolve(make_agent_heartbeat(), agents=("10.0.0.99",)),
            AGENT_RESTART_S - 0.5,
        ),
    ],
    ids=["balancer", "agent"],
)
async def test_a_listed_host_that_never_replies_delays_a_reset_briefly(
    reply: Heartbeat, known_for_s: float, autojump_clock: trio.testing.MockClock
) -> None:
    bench = BalancerBench()
    bench.members.record_heartbeat("10.0.0.1", reply)
    bench.publish()
    await trio.sleep(known_for_s)
    bench.balancer.on_caller_packet(REQUEST)
    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    for _ in range(20 if known_for_s else 16):
        await trio.sleep(0.05)
        bench.balancer.retry_lookups()

    assert len(bench.resets()) == 1


async def test_a_loss_of_all_power_leads_to_no_queries_of_agents_without_flows(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET)
    bench.publish()
    # All entries have lapsed, and the agents run again before their backend servers.
    bench.publish(backends={}, revision=20)
    await trio.sleep(0.5)
    for host in LARGE_FLEET:
        bench.members.record_heartbeat(host, make_agent_heartbeat(holds_no_flows=True))
    await trio.sleep(1.9)
    for host in LARGE_FLEET:
        bench.members.record_activity(host)

    bench.balancer.on_caller_packet(REQUEST)

    assert len(bench.socket.pop_sent_to(CALLER_PORT)) == 1
    assert bench.deliveries() == []


async def test_a_failed_lookup_resets_no_later_flow_of_the_same_port() -> None:
    bench = BalancerBench()
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    for host in bench.hosts:
        bench.return_packet(host, ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1

    # The caller opens another flow; a copy was placed by another balancer.
    bench.balancer.on_caller_packet(OPENING)
    [(agent, _)] = bench.deliveries()
    bench.return_packet(agent, ReturnReason.UNANSWERED, OPENING)
    bench.balancer.on_caller_packet(REQUEST)

    assert bench.socket.pop_sent_to(CALLER_PORT) == []


async def test_denials_of_a_flow_do_not_count_for_another_one_of_its_port() -> None:
    bench = BalancerBench()
    bench.publish()
    # A late packet: the port has been used again since.
    earlier = encode_packet(KEY, payload_bytes=900, acknowledged=1 << 30)
    bench.balancer.on_caller_packet(earlier)
    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, earlier)

    bench.balancer.on_caller_packet(REQUEST)
    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, earlier)
    bench.return_packet("10.0.0.2", ReturnReason.NOT_HELD, REQUEST)
    assert bench.resets() == []

    bench.return_packet("10.0.0.1", ReturnReason.NOT_HELD, REQUEST)
    assert len(bench.resets()) == 1


@pytest.mark.parametrize("is_delegated", [False, True])
async def test_a_late_packet_resets_no_port_that_another_flow_uses(
    is_delegated: bool,
) -> None:
    bench = BalancerBench(hosts=LARGE_FLEET if is_delegated else LARGE_FLEET[:2])
    bench.publish()
    bench.balancer.on_caller_packet(REQUEST)
    [(first, _), *_] = bench.deliveries()
    if is_delegated:
        bench.return_packet(
            first,
            ReturnReason.PARTLY_DENIED,
            REQUEST,
            hosts=LARGE_FLEET[:1],
            is_port_used=True,
        )
        bench.return_packet(
            first, ReturnReason.HELD_NOWHERE, REQUEST, hosts=tuple(LARGE_FLEET)
        )
    else:
        for host, is_port_used in zip(bench.hosts, (True, False), strict=True):
            bench.return_packet(
                host, ReturnReason.NOT_HELD, REQUEST, is_port_used=is_port_used
            )

    assert bench.resets() == []
    bench.deliveries()
    # Only the caller's next packet starts another lookup.
    bench.return_packet(bench.hosts[1], ReturnReason.NOT_HELD, REQUEST)
    assert bench.deliveries() == []
    bench.balancer.on_caller_packet(REQUEST)
    assert bench.deliveries() != []
