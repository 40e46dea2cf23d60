"""
Hypothesis profiles of the property tests, and the check for unexpected errors.

``ci`` generates the same examples in every run, ``fuzz`` many new ones; run it with
``pytest --hypothesis-profile=fuzz --hypothesis-seed=N FILE``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck
from hypothesis import settings

from oleanderweir.error_barrier import unexpected_errors


if TYPE_CHECKING:
    from collections.abc import Iterator


settings.register_profile("ci", derandomize=True, deadline=None, max_examples=200)
settings.register_profile(
    "fuzz",
    deadline=None,
    max_examples=100_000,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def check_unexpected_errors(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test in which a barrier confined an error that it doesn't expect."""
    unexpected_errors.clear()
    yield
    found = dict(unexpected_errors)
    unexpected_errors.clear()
    if "unexpected_errors" not in request.keywords:
        assert not found, "see the log for the stack of each error"
