from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_agent.limits import WorkResult
from oleanderweir_bench.experiments.baselines import AimdLimit
from oleanderweir_bench.experiments.baselines import GradientLimit
from tests.oleanderweir_agent.limits.limit_runs import record_run


if TYPE_CHECKING:
    from trio.testing import MockClock


@pytest.mark.parametrize("kind", [AimdLimit, GradientLimit], ids=["aimd", "gradient"])
async def test_limits_never_fall_below_one(
    autojump_clock: MockClock, kind: type[AimdLimit | GradientLimit]
) -> None:
    limit = kind(ceiling=4)

    for _ in range(20):
        record_run(limit, WorkResult.FAILED)
        await trio.sleep(1.0)

    assert limit.limit >= 1


async def test_abandoned_run_does_not_change_the_limits(
    autojump_clock: MockClock,
) -> None:
    aimd = AimdLimit(ceiling=4)
    gradient = GradientLimit(ceiling=4)

    for limit in (aimd, gradient):
        record_run(limit, WorkResult.ABANDONED)

    assert aimd.limit == gradient.limit == 4
