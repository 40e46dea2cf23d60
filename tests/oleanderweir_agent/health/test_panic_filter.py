from __future__ import annotations

import attrs
import pytest

from oleanderweir_agent.health import BackendHealth
from oleanderweir_agent.health import PanicFilter
from oleanderweir_agent.limits import WorkOutcome
from oleanderweir_agent.limits import WorkResult


@attrs.frozen(kw_only=True)
class Member:
    is_healthy: bool


def record_outcome(
    health: BackendHealth, result: WorkResult, *, times: int = 1
) -> None:
    for _ in range(times):
        health.record_outcome(
            WorkOutcome(result=result, service_time_s=0.1, expected_s=0.1, in_flight=1)
        )


@pytest.mark.parametrize(
    ("healthy", "down", "usable"),
    [(4, 3, 4), (3, 4, 7), (0, 7, 7), (7, 0, 7)],
    ids=["few-down", "most-down", "all-down", "none-down"],
)
def test_health_is_ignored_if_most_members_are_down(
    healthy: int, down: int, usable: int
) -> None:
    members = [Member(is_healthy=True)] * healthy + [Member(is_healthy=False)] * down

    assert len(PanicFilter().usable(members)) == usable
