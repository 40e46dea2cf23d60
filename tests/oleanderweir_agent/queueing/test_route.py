from __future__ import annotations

import pytest

from oleanderweir_agent.queueing import Route


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
def test_routes_replace_identifiers_and_drop_the_query(
    path: str, template: str
) -> None:
    assert Route.of(method="GET", path=path).template == template
