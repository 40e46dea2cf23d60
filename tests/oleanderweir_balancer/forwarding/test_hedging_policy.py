from __future__ import annotations

import random

import attrs
import pytest

from oleanderweir.desired_state import BackendRecord
from oleanderweir.desired_state import BackendState
from oleanderweir.peering.messages import LoadReport
from oleanderweir_balancer.forwarding import PlacementPolicy
from oleanderweir_balancer.forwarding.hedging_policy import MAX_DELAY_S
from oleanderweir_balancer.forwarding.hedging_policy import MIN_DELAY_S
from oleanderweir_balancer.forwarding.hedging_policy import HedgingPolicy
from oleanderweir_balancer.forwarding.withheld_reason import WithheldReason
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.flows.fakes import make_key


KEY = make_key(1)
FIRST = make_record("b1", host="10.0.0.1")
SECOND = make_record("b2", host="10.0.0.2")


def make_policy(*, busy: dict[str, int], max_share: float = 1.0) -> HedgingPolicy:
    """Return a policy with a hedge left, and the reports of backend servers."""
    placement = PlacementPolicy(availability_zone="a", random_source=random.Random(1))
    for host, count in busy.items():
        placement.record_report(host, make_report(busy=count), now=0.0)
    policy = HedgingPolicy(max_share=max_share, placement=placement)
    policy.budget.on_candidate()
    return policy


def make_report(*, busy: int = 0, is_accepting: bool = True) -> LoadReport:
    return LoadReport(
        service="feed",
        busy=busy,
        flows=busy,
        busy_mean=float(busy),
        service_ms=50.0,
        is_accepting=is_accepting,
    )


def select(
    policy: HedgingPolicy, *records: BackendRecord, now: float = 0.1
) -> BackendRecord | WithheldReason:
    return policy.select(records, key=KEY, first_agent=FIRST.host, now=now)


def test_another_backend_server_with_a_free_slot_is_selected() -> None:
    policy = make_policy(busy={FIRST.host: 4, SECOND.host: 3})

    assert select(policy, FIRST, SECOND) is SECOND


def test_a_service_without_free_slots_on_average_gets_no_hedge() -> None:
    third = make_record("b3", host="10.0.0.3")
    policy = make_policy(busy={FIRST.host: 6, SECOND.host: 3, third.host: 3})

    assert select(policy, FIRST, SECOND, third) is WithheldReason.LOADED


def test_the_first_backend_server_gets_no_hedge() -> None:
    policy = make_policy(busy={FIRST.host: 0})

    assert select(policy, FIRST, SECOND) is WithheldReason.NO_FREE_SLOT


@pytest.mark.parametrize(
    "record",
    [
        attrs.evolve(SECOND, state=BackendState.DRAINING),
        attrs.evolve(SECOND, cold_remaining_s=2.0),
    ],
)
def test_a_backend_server_that_drains_or_is_cold_gets_no_hedge(
    record: BackendRecord,
) -> None:
    policy = make_policy(busy={FIRST.host: 0, SECOND.host: 0})

    assert select(policy, FIRST, record) is WithheldReason.NO_FREE_SLOT


def test_a_backend_server_that_accepts_no_flows_gets_no_hedge() -> None:
    policy = make_policy(busy={FIRST.host: 0})
    report = make_report(is_accepting=False)
    policy.placement.record_report(SECOND.host, report, now=0.0)

    assert select(policy, FIRST, SECOND) is WithheldReason.NO_FREE_SLOT


def test_flows_placed_since_a_report_use_up_its_free_slots() -> None:
    policy = make_policy(busy={FIRST.host: 0, SECOND.host: 2})
    policy.placement.placed_since_report[SECOND.host] = 2

    assert select(policy, FIRST, SECOND) is WithheldReason.NO_FREE_SLOT


def test_without_a_fresh_report_nothing_is_hedged() -> None:
    policy = make_policy(busy={FIRST.host: 0, SECOND.host: 0})

    assert select(policy, FIRST, SECOND, now=60.0) is WithheldReason.NO_REPORT


def test_a_burst_of_slow_flows_gets_no_more_hedges_than_the_limit() -> None:
    policy = make_policy(busy={FIRST.host: 0, SECOND.host: 0}, max_share=0.125)
    chosen = []
    for _ in range(99):
        policy.budget.on_candidate()
        policy.placement.placed_since_report.clear()
        chosen.append(select(policy, FIRST, SECOND))

    assert chosen.count(SECOND) == 12  # of 100 flows
    assert chosen.count(WithheldReason.BUDGET) == 87


def test_the_delay_follows_the_recent_opening_times_within_bounds() -> None:
    policy = make_policy(busy={})
    assert policy.delay_s == MAX_DELAY_S

    for _ in range(300):
        policy.opening_times.record(0.005)
    assert policy.delay_s == MIN_DELAY_S

    for _ in range(300):
        policy.opening_times.record(0.04)
    assert policy.delay_s == 0.04

    for _ in range(300):
        policy.opening_times.record(0.4)
    assert policy.delay_s == MAX_DELAY_S
