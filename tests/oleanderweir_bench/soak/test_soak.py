"""
A short soak of the real processes.

The test checks guarantees and does not depend on the speed of the machine, except for
the recovery within the twelve seconds that the platform specifies. Seeds that have
failed run only on demand, with ``--regressions``.
"""

from __future__ import annotations

import random

from oleanderweir_bench.soak import SoakPlan
from oleanderweir_bench.soak import run_soak
from oleanderweir_bench.soak.faults import FAULTS


# Time during which faults start, in seconds.
FAULTS_S = 5.0


async def test_random_faults_violate_no_guarantee() -> None:
    report = await run_soak(SoakPlan(seed=1, faults_s=FAULTS_S))

    assert report.overall.violations == 0, (report.overall, report.events, report.log)
    assert report.has_recovered, (report.after_recovery, report.events)
    assert report.overall.total > 0


def test_fifty_seeds_start_with_nearly_every_fault() -> None:
    started = {random.Random(seed).choice(FAULTS) for seed in range(50)}

    assert len(started) >= len(FAULTS) - 1
