from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_agent.limits import WorkResult
from oleanderweir_bench.experiments.baselines import GradientLimit
from tests.oleanderweir_agent.limits.limit_runs import record_run


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_gradient_limit_falls_with_slow_runs_and_recovers(
    autojump_clock: MockClock,
) -> None:
    limit = GradientLimit(ceiling=16)
    for _ in range(20):
        record_run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 16

    for _ in range(40):
        record_run(limit, WorkResult.SUCCEEDED, service_time_s=0.4)
    assert limit.limit <= 8

    for _ in range(80):
        record_run(limit, WorkResult.SUCCEEDED)
    assert limit.limit == 16
