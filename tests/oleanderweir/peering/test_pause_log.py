from __future__ import annotations

import pytest

from oleanderweir.peering.pause_log import MAX_RUN_INTERVAL_S
from oleanderweir.peering.pause_log import PauseLog


def make_log(*runs: float) -> PauseLog:
    log = PauseLog()
    for now in runs:
        log.record_run(now)
    return log


def test_time_counts_while_the_process_runs() -> None:
    log = make_log(0.0, 0.2, 0.4, 0.6)

    assert log.moment_before(0.6, ran_for_s=0.5) == pytest.approx(0.1)


@pytest.mark.parametrize("ran_for_s", [0.2, 1.0])
def test_a_pause_does_not_count(ran_for_s: float) -> None:
    log = make_log(10.0, 15.0)

    moment = log.moment_before(15.0, ran_for_s=ran_for_s)

    assert moment == pytest.approx(10.0 + MAX_RUN_INTERVAL_S - ran_for_s)


def test_several_pauses_do_not_count() -> None:
    log = make_log(0.0, 2.0, 2.2, 5.0)

    assert log.moment_before(5.1, ran_for_s=1.0) == pytest.approx(
        5.1 - 1.0 - (2.8 - MAX_RUN_INTERVAL_S) - (2.0 - MAX_RUN_INTERVAL_S)
    )


def test_a_pause_before_the_span_does_not_matter() -> None:
    log = make_log(0.0, 2.0, 2.2, 2.4, 2.6)

    assert log.moment_before(2.6, ran_for_s=0.5) == pytest.approx(2.1)
