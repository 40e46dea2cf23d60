from __future__ import annotations

import pytest

from oleanderweir_bench.packet_path import run_random_series


# Sites of 4 to 32 backend servers at the start, with both hash modes of the routers.
SEEDS = (1, 2, 3, 102, 203, 311)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_and_changes_violate_no_guarantee(seed: int) -> None:
    result = run_random_series(seed=seed)

    assert result.whole.total > 300
    assert result.whole.violations == 0
    assert result.calm.failed == 0


def test_a_series_is_deterministic_for_a_seed() -> None:
    first = run_random_series(seed=4, faults_s=2.0)

    assert run_random_series(seed=4, faults_s=2.0) == first
