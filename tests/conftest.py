"""
Hypothesis profiles of the property tests.

``ci`` generates the same examples in every run, ``fuzz`` many new ones; run it with
``pytest --hypothesis-profile=fuzz --hypothesis-seed=N FILE``.
"""

from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings


settings.register_profile("ci", derandomize=True, deadline=None, max_examples=200)
settings.register_profile(
    "fuzz",
    deadline=None,
    max_examples=100_000,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
