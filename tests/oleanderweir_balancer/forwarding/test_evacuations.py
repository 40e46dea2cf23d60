from __future__ import annotations

from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench


HOSTS = {zone: {f"10.0.{ord(zone)}.{n}" for n in range(6)} for zone in "abc"}


def make_bench() -> BalancerBench:
    """Return a balancer with backend servers in several availability zones."""
    bench = BalancerBench()
    backends = {
        host: backend_document(host=host, availability_zone=zone)
        for zone, hosts in HOSTS.items()
        for host in hosts
    }
    publish(bench.register, backends=backends)
    return bench


def open_flow(bench: BalancerBench, number: int) -> bytes:
    opening = encode_packet(make_key(number), is_opening=True)
    bench.balancer.on_caller_packet(opening)
    return opening


def place_flows(bench: BalancerBench, numbers: range) -> set[str]:
    """Open flows, and return the hosts of the agents on which they were placed."""
    for number in numbers:
        open_flow(bench, number)
    return {host for host, _ in bench.deliveries()}


async def test_no_new_flow_is_placed_in_an_evacuated_zone() -> None:
    bench = make_bench()
    apply_orders(bench.register, order_change("elsewhere", revision=10))
    assert place_flows(bench, range(300)) >= HOSTS["a"]

    # Busy backend servers go before idle ones of an evacuated zone.
    for zone, hosts in HOSTS.items():
        for host in hosts:
            bench.report(host, busy=0 if zone == "a" else 50)
    apply_orders(bench.register, order_change("a", revision=11))
    assert place_flows(bench, range(300, 600)) == HOSTS["b"] | HOSTS["c"]

    apply_orders(bench.register, order_change("a", revision=12, document=None))
    assert place_flows(bench, range(600, 900)) >= HOSTS["a"]


async def test_a_flow_is_reset_at_once_if_all_zones_are_evacuated() -> None:
    bench = make_bench()
    known = place_flows(bench, range(1))
    for zone in HOSTS:
        apply_orders(bench.register, order_change(zone, revision=ord(zone)))

    open_flow(bench, 1)

    assert len(bench.resets()) == 1
    # A copy goes to the agent that got the opening packet, as it may be answered.
    assert place_flows(bench, range(1)) == known


# The balancer is cut off from the store and its peers, and only agents know the orders.
async def test_a_flow_returned_from_an_evacuated_zone_goes_to_another() -> None:
    bench = make_bench()
    for number in range(60):
        opening = open_flow(bench, number)
        for _ in range(2):
            [(host, _)] = bench.deliveries()
            if host not in HOSTS["c"]:
                bench.return_packet(host, ReturnReason.EVACUATED, opening)
            else:
                open_flow(bench, number)

        # One return is enough to leave a zone out.
        [(host, _)] = bench.deliveries()
        assert host in HOSTS["c"]
