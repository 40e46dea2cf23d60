from __future__ import annotations

import pytest

from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import ServiceTimeHistogram
from oleanderweir_agent.queueing import ServiceTimeModel


SHORT = Route(method="GET", template="/bulletin")
LONG = Route(method="GET", template="/proof")


@pytest.mark.parametrize(
    ("path", "template"),
    [
        ("/", "/"),
        ("/bulletin", "/bulletin"),
        ("/proof?bytes=900000", "/proof"),
        ("/papers/17/pages/a4f2", "/papers/*/pages/*"),
        ("/a/b/c/d/e/f/g/h", "/a/b/c/d/e/f"),
        ("/" + "x" * 40, "/*"),
    ],
    ids=["root", "plain", "query", "identifiers", "deep", "long"],
)
def test_routes_drop_what_differs_between_requests(path: str, template: str) -> None:
    assert Route.of(method="GET", path=path).template == template


def test_a_histogram_forgets_old_service_times() -> None:
    histogram = ServiceTimeHistogram(half_life_runs=50)
    for _ in range(500):
        histogram.observe(0.1)
    assert histogram.mean_s == pytest.approx(0.1)

    for _ in range(500):
        histogram.observe(0.4)

    assert histogram.mean_s == pytest.approx(0.4, rel=0.01)
    assert histogram.quantile_s(0.5) == pytest.approx(0.4)


def test_an_old_run_is_expected_to_be_one_of_the_long_ones() -> None:
    histogram = ServiceTimeHistogram()
    for _ in range(49):
        histogram.observe(0.02)
    histogram.observe(1.0)

    assert histogram.residual_s(0.0) == pytest.approx(0.04, rel=0.1)
    assert histogram.residual_s(0.1) == pytest.approx(0.9)
    assert histogram.residual_s(5.0) == 5.0


def test_long_routes_are_told_from_short_ones() -> None:
    model = ServiceTimeModel()
    for _ in range(49):
        model.observe(SHORT, 0.02)
    for _ in range(4):
        model.observe(LONG, 1.0)

    assert model.is_long(model.expected_s(LONG))
    assert not model.is_long(model.expected_s(SHORT))


def test_the_number_of_routes_is_bounded() -> None:
    model = ServiceTimeModel(max_routes=3)
    for name in "abcde":
        model.observe(Route(method="GET", template=f"/{name}"), 0.1)

    assert [route.template for route in model.by_route] == ["/c", "/d", "/e"]
