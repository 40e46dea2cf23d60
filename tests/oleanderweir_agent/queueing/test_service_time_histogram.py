from __future__ import annotations

import pytest

from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import ServiceTimeHistogram


SHORT = Route(method="GET", template="/bulletin")


LONG = Route(method="GET", template="/proof")


def test_old_service_times_decay() -> None:
    histogram = ServiceTimeHistogram(half_life_runs=50)
    for _ in range(500):
        histogram.observe(0.1)
    assert histogram.mean_s == pytest.approx(0.1)

    for _ in range(500):
        histogram.observe(0.4)

    assert histogram.mean_s == pytest.approx(0.4, rel=0.01)
    assert histogram.quantile_s(0.5) == pytest.approx(0.4)


def test_the_residual_time_depends_on_the_elapsed_time() -> None:
    histogram = ServiceTimeHistogram()
    for _ in range(49):
        histogram.observe(0.02)
    histogram.observe(1.0)

    assert histogram.residual_s(0.0) == pytest.approx(0.04, rel=0.1)
    assert histogram.residual_s(0.1) == pytest.approx(0.9)
    assert histogram.residual_s(5.0) == 5.0
