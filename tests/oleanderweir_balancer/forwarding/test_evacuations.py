from __future__ import annotations

from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.desired_state.fakes import withdrawal_change
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench
from tests.oleanderweir_balancer.forwarding.packets import KEY
from tests.oleanderweir_balancer.forwarding.packets import OPENING


ZONES = ("a", "b", "c")
HOSTS_PER_ZONE = 6
EVACUATED = {f"10.0.1.{n}" for n in range(HOSTS_PER_ZONE)}


def make_bench(zones: tuple[str, ...] = ZONES) -> BalancerBench:
    """Return a balancer with backend servers in several availability zones."""
    bench = BalancerBench()
    documents = {
        f"{zone}{n}": backend_document(
            host=f"10.0.{number}.{n}", availability_zone=zone
        )
        for number, zone in enumerate(zones, start=1)
        for n in range(HOSTS_PER_ZONE)
    }
    publish(bench.register, backends=documents)
    return bench


def open_flows(bench: BalancerBench, numbers: range) -> set[str]:
    """Open flows, and return the hosts of the agents on which they were placed."""
    for number in numbers:
        opening = encode_packet(make_key(number), is_opening=True)
        bench.balancer.on_caller_packet(opening)
    return {host for host, _ in bench.deliveries()}


async def test_no_new_flow_is_placed_in_an_evacuated_zone() -> None:
    bench = make_bench()
    assert open_flows(bench, range(300)) >= EVACUATED

    apply_orders(bench.register, order_change("a", revision=11))

    used = open_flows(bench, range(300, 600))
    assert not used & EVACUATED
    assert len(used) == 2 * HOSTS_PER_ZONE
    apply_orders(bench.register, withdrawal_change("a", revision=12))
    assert open_flows(bench, range(600, 900)) >= EVACUATED


async def test_busy_agents_outside_are_preferred_to_an_evacuated_zone() -> None:
    bench = make_bench(("a", "b"))
    apply_orders(bench.register, order_change("a", revision=11))
    for number in range(HOSTS_PER_ZONE):
        bench.report(f"10.0.1.{number}", busy=0)
        bench.report(f"10.0.2.{number}", busy=50)
    bench.balancer.on_caller_packet(OPENING)

    for _ in range(2):
        [(host, _)] = bench.deliveries()
        assert host not in EVACUATED
        bench.return_packet(host, ReturnReason.BUSY, OPENING)

    [(host, _)] = bench.deliveries()
    assert host not in EVACUATED


async def test_a_flow_is_reset_at_once_if_all_zones_are_evacuated() -> None:
    bench = make_bench(("a",))
    apply_orders(bench.register, order_change("a", revision=11))

    bench.balancer.on_caller_packet(OPENING)

    assert len(bench.resets()) == 1


async def test_the_order_of_an_unknown_zone_changes_nothing() -> None:
    bench = make_bench()
    apply_orders(bench.register, order_change("elsewhere", revision=11))

    assert open_flows(bench, range(300)) >= EVACUATED


async def test_a_copy_goes_to_the_agent_that_got_the_opening_packet() -> None:
    bench = make_bench(("a",))
    bench.balancer.on_caller_packet(OPENING)
    [(host, _)] = bench.deliveries()
    apply_orders(bench.register, order_change("a", revision=11))

    # Its backend server may have answered; the agent knows.
    bench.balancer.on_caller_packet(encode_packet(KEY, is_opening=True, acknowledged=1))

    assert [receiver for receiver, _ in bench.deliveries()] == [host]


# The store is out of reach of the balancer and its peers, and only agents know.
async def test_a_flow_returned_by_agents_of_an_evacuated_zone_goes_to_another() -> None:
    bench = make_bench()
    for number in range(60):
        opening = encode_packet(make_key(number), is_opening=True)
        bench.balancer.on_caller_packet(opening)
        [(host, _)] = bench.deliveries()
        tries = 1
        while not host.startswith("10.0.3."):
            bench.return_packet(host, ReturnReason.EVACUATED, opening)
            [(host, _)] = bench.deliveries()
            tries += 1
        # One backend server of each zone is enough to leave the zone out.
        assert tries <= len(ZONES)
