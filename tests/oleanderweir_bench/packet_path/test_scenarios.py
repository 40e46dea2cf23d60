from __future__ import annotations

import pytest

from oleanderweir.lookups import MAX_DIRECT_QUERIES
from oleanderweir_bench.packet_path import FLOW_SCENARIOS
from oleanderweir_bench.packet_path import SCENARIOS
from oleanderweir_bench.packet_path import run_scenario


CALLERS = 15


@pytest.mark.parametrize("name", sorted(SCENARIOS))
@pytest.mark.parametrize(
    "uses_rendezvous_hash", [True, False], ids=["rendezvous", "mod"]
)
def test_no_guarantee_is_violated(name: str, uses_rendezvous_hash: bool) -> None:
    result = run_scenario(
        name, seed=7, uses_rendezvous_hash=uses_rendezvous_hash, callers=CALLERS
    )

    assert result.total > 100
    assert result.violations == 0


@pytest.mark.parametrize("name", ["calm", "drain", "move-flows"])
def test_planned_changes_make_no_request_late(name: str) -> None:
    result = run_scenario(name, seed=3, callers=CALLERS)

    assert result.failed == 0
    assert result.late == 0


def test_killed_balancers_make_no_request_fail() -> None:
    assert run_scenario("kill-balancers", seed=3, callers=CALLERS).failed == 0


def test_a_scenario_is_deterministic_for_a_seed() -> None:
    first = run_scenario("kill-everything", seed=5, callers=CALLERS)
    second = run_scenario("kill-everything", seed=5, callers=CALLERS)

    assert first == second


@pytest.mark.parametrize("name", ["kill-everything", "move-flows"])
def test_no_guarantee_is_violated_in_a_fleet_with_delegated_lookups(name: str) -> None:
    backends = MAX_DIRECT_QUERIES + 4

    result = run_scenario(name, seed=9, callers=CALLERS, backends=backends)

    assert result.violations == 0
    if name == "move-flows":
        assert result.late == 0
        assert result.failed == 0


@pytest.mark.parametrize("name", sorted(FLOW_SCENARIOS))
def test_flows_are_kept_while_several_backend_servers_answer_openings(
    name: str,
) -> None:
    result = run_scenario(name, seed=7, callers=CALLERS, requests_per_flow=1)

    assert result.total > 100
    assert result.violations == 0


def test_late_answers_to_openings_reset_no_flow_opened_through_another_balancer() -> (
    None
):
    result = run_scenario(
        "restart-agents",
        seed=114,
        uses_rendezvous_hash=False,
        callers=30,
        backends=8,
        requests_per_flow=1,
    )

    assert result.violations == 0


def test_lapsed_entries_reset_no_flow_in_a_fleet_with_delegated_lookups() -> None:
    result = run_scenario(
        "lapse-entries",
        seed=3,
        uses_rendezvous_hash=False,
        callers=30,
        backends=MAX_DIRECT_QUERIES + 5,
        requests_per_flow=3,
    )

    assert result.violations == 0
