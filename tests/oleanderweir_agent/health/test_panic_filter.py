from __future__ import annotations

import attrs
import pytest

from oleanderweir_agent.health import PanicFilter


@attrs.frozen(kw_only=True)
class Member:
    is_healthy: bool


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
