from __future__ import annotations

import pytest

from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.limits import WorkResult
from oleanderweir_bench.experiments.baselines import Unlimited
from tests.oleanderweir_agent.limits.limit_runs import record_run


@pytest.mark.parametrize(
    "limit", [FixedLimit(limit=4), Unlimited()], ids=["fixed", "unlimited"]
)
def test_a_fixed_limit_ignores_outcomes(limit: FixedLimit | Unlimited) -> None:
    before = limit.limit

    record_run(limit, WorkResult.SHED, retry_after_s=3.0)

    assert limit.limit == before
    assert limit.paused_until == 0.0
