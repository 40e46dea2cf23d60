from __future__ import annotations

import pytest

from oleanderweir_bench.packet_path import closing_caller
from oleanderweir_bench.packet_path import run_random_series


# Sites of 4 to 32 backend servers at the start, with both hash modes of the routers.
SEEDS = (1, 2, 3, 102, 203, 311)
PLANNED_CHANGES = (
    "add_backend",
    "lag",
    "leave_rotation",
    "restart_agent",
    "restart_balancer",
    "roll_agents",
)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_and_changes_violate_no_guarantee(seed: int) -> None:
    result = run_random_series(seed=seed)

    assert result.whole.total > 300
    assert result.whole.violations == 0
    assert result.calm.failed == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_violate_no_guarantee_while_slow_openings_are_hedged(
    seed: int,
) -> None:
    result = run_random_series(seed=seed, max_hedged_share=1.0)

    assert result.whole.total > 300
    assert result.whole.violations == 0
    assert result.calm.failed == 0


def test_a_series_is_deterministic_for_a_seed() -> None:
    first = run_random_series(seed=4, faults_s=2.0)

    assert run_random_series(seed=4, faults_s=2.0) == first


def test_planned_changes_keep_idle_flows_at_their_own_backend_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(closing_caller, "LONG_PAUSE_SHARE", 0.4)
    monkeypatch.setattr(closing_caller, "REUSE_SHARE", 0.0)

    result = run_random_series(seed=2054, names=PLANNED_CHANGES)

    assert result.whole.violations == 0
