from __future__ import annotations

from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import ServiceTimeModel


SHORT = Route(method="GET", template="/bulletin")


LONG = Route(method="GET", template="/proof")


def test_long_routes_are_distinguished_from_short_ones() -> None:
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
