from __future__ import annotations

import functools
import random
from collections import Counter

import attrs

from oleanderweir.desired_state import BackendState
from oleanderweir.flows import PLACEMENT_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.peering.messages import LoadReport
from oleanderweir_balancer.forwarding import PlacementPolicy
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.flows.fakes import make_key


RECORDS = [make_record(f"b{n}", host=f"10.0.0.{n}") for n in range(1, 5)]


def make_placement(seed: int = 1) -> PlacementPolicy:
    return PlacementPolicy(availability_zone="a", random_source=random.Random(seed))


def make_report(
    *,
    busy: int = 0,
    flows: int = 0,
    busy_mean: float = 0.0,
    service_ms: float = 50.0,
    is_accepting: bool = True,
) -> LoadReport:
    return LoadReport(
        service="feed",
        busy=busy,
        flows=flows,
        busy_mean=busy_mean,
        service_ms=service_ms,
        is_accepting=is_accepting,
    )


def place(placement: PlacementPolicy, count: int, *, now: float = 0.0) -> Counter[str]:
    chosen = Counter[str]()
    for number in range(count):
        record = placement.place(RECORDS, key=make_key(number), excluding=(), now=now)
        assert record is not None
        chosen[record.host] += 1
    return chosen


def test_a_burst_without_any_report_is_spread_evenly() -> None:
    chosen = place(make_placement(), 100)

    assert max(chosen.values()) - min(chosen.values()) <= 6


def test_a_burst_between_two_reports_is_spread_evenly() -> None:
    placement = make_placement()
    for record in RECORDS:
        placement.record_report(record.host, make_report(), now=0.0)

    chosen = place(placement, 100)

    assert max(chosen.values()) - min(chosen.values()) <= 6


def test_open_flows_count_as_load() -> None:
    placement = make_placement()
    for number, record in enumerate(RECORDS):
        report = make_report(flows=200 if number == 0 else 100, busy_mean=4.0)
        placement.record_report(record.host, report, now=0.0)

    # A hundred more flows mean about three more requests in flight.
    assert place(placement, 8)[RECORDS[0].host] == 0


def test_a_backend_server_without_a_report_has_the_mean_load() -> None:
    placement = make_placement()
    for record in RECORDS[1:]:
        report = make_report(busy=6, flows=80, busy_mean=6.0)
        placement.record_report(record.host, report, now=0.0)

    chosen = place(placement, 80)

    assert 12 <= chosen[RECORDS[0].host] <= 28


def test_a_backend_server_half_as_fast_gets_about_half_as_many_flows() -> None:
    placement = make_placement()
    for number, record in enumerate(RECORDS):
        report = make_report(service_ms=100.0 if number == 0 else 50.0)
        placement.record_report(record.host, report, now=0.0)

    chosen = place(placement, 200)

    others = (200 - chosen[RECORDS[0].host]) / 3
    assert 0.35 <= chosen[RECORDS[0].host] / others <= 0.6


def test_backend_servers_that_accept_no_flows_get_none() -> None:
    placement = make_placement()
    reports = [
        make_report(is_accepting=False),
        make_report(is_accepting=False),
        make_report(),
        make_report(),
    ]
    for record, report in zip(RECORDS, reports, strict=True):
        placement.record_report(record.host, report, now=0.0)

    assert set(place(placement, 20)) == {"10.0.0.3", "10.0.0.4"}


def test_published_backend_servers_are_used_if_none_accepts() -> None:
    placement = make_placement()
    for record in RECORDS:
        placement.record_report(record.host, make_report(is_accepting=False), now=0.0)

    assert sum(place(placement, 4).values()) == 4


def test_draining_and_excluded_backend_servers_are_never_chosen() -> None:
    records = [
        make_record("b1", host="10.0.0.1", state=BackendState.DRAINING),
        make_record("b2", host="10.0.0.2"),
    ]

    placement = make_placement()

    chosen = placement.place(records, key=make_key(1), excluding={"10.0.0.2"}, now=0.0)

    assert chosen is None


def test_a_new_flow_is_placed_among_the_first_hosts_of_its_ranking() -> None:
    records = [make_record(f"b{n}", host=f"10.0.0.{n}") for n in range(1, 43)]
    hosts = [record.host for record in records]
    placement = make_placement()

    for number in range(50):
        key = make_key(number)
        record = placement.place(records, key=key, excluding=(), now=0.0)
        assert record is not None
        assert record.host in candidate_hosts(key, hosts, count=PLACEMENT_CANDIDATES)


def simulate_many_balancers(*, by_load: bool) -> float:
    """
    Return the highest number of flows of one backend server, divided by the mean.

    Six balancers place 240 flows of one request each within 100 ms, with load reports
    every 50 ms.
    """
    placements = [make_placement(seed) for seed in range(6)]
    placed = Counter[str]()
    reported = Counter[str]()
    for step in range(240):
        if step % 120 == 0:
            reported = Counter(placed)
            for placement in placements:
                for record in RECORDS:
                    report = make_report(
                        busy=reported[record.host], flows=reported[record.host]
                    )
                    placement.record_report(record.host, report, now=0.0)
        if by_load:
            chosen = placements[step % 6].place(
                RECORDS, key=make_key(step), excluding=(), now=0.0
            )
        else:
            chosen = random.Random(step).choice(RECORDS)
        assert chosen is not None
        placed[chosen.host] += 1
    return max(placed.values()) / (240 / len(RECORDS))


def test_many_balancers_spread_a_burst_more_evenly_than_at_random() -> None:
    assert simulate_many_balancers(by_load=True) < simulate_many_balancers(
        by_load=False
    )
    assert simulate_many_balancers(by_load=True) < 1.15


# Guards against flows at the address of a lost backend server that is used again.
def test_an_address_whose_agent_reports_another_service_gets_no_flow() -> None:
    placement = make_placement()
    for record in RECORDS:
        placement.record_report(record.host, make_report(), now=0.0)
    report = attrs.evolve(make_report(), service="archive")
    placement.record_report(RECORDS[0].host, report, now=0.0)

    assert place(placement, 40)[RECORDS[0].host] == 0
    others = [record.host for record in RECORDS[1:]]
    key = make_key(1)
    assert placement.place(RECORDS, key=key, excluding=others, now=0.0) is None


def test_the_last_report_of_an_earlier_agent_excludes_no_address_for_long() -> None:
    placement = make_placement()
    report = attrs.evolve(make_report(), service="archive")
    placement.record_report(RECORDS[0].host, report, now=0.0)

    place_at = functools.partial(
        placement.place, RECORDS[:1], key=make_key(1), excluding=()
    )

    assert place_at(now=0.5) is None
    assert place_at(now=10.0) is RECORDS[0]
