from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import attrs
import pytest
import trio

from oleanderweir_agent.copies import AttemptPlace
from oleanderweir_agent.copies import CopyPolicy
from oleanderweir_agent.copies import CopyRefusal
from oleanderweir_agent.copies.copy_policy import MAX_RACES
from oleanderweir_agent.copies.route_delays import RouteDelays
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.retries import AttemptCount
from tests.oleanderweir_agent.copies.copy_bench import ZonedConfiguration
from tests.oleanderweir_agent.copies.copy_bench import make_copy_policy
from tests.oleanderweir_agent.load.relay_policies import REQUEST


if TYPE_CHECKING:
    from trio.testing import MockClock


def select(
    policy: CopyPolicy,
    *,
    peer: str | None = None,
    remaining_s: float = 10.0,
    late_s: float = 0.0,
) -> str | CopyRefusal:
    now = trio.current_time()
    return policy.select(
        attrs.evolve(REQUEST, deadline=now + remaining_s),
        place=AttemptPlace(peer=peer),
        attempts=AttemptCount(max_attempts=3, count=1),
        due_at=now - late_s,
    )


def set_reports(policy: CopyPolicy, names: str, **changes: object) -> None:
    for name in names:
        entry = policy.group.table.entries[name]
        entry.report = attrs.evolve(entry.report, **changes)  # type: ignore[arg-type]


async def test_a_peer_of_another_availability_zone_is_preferred(
    autojump_clock: MockClock,
) -> None:
    assert select(make_copy_policy()) == "d"


@pytest.mark.parametrize(
    "changes",
    [{"free_slots": 0, "free_long_slots": 0}, {"is_draining": True}],
    ids=["full", "draining"],
)
async def test_without_another_zone_a_peer_of_this_one_gets_the_copy(
    autojump_clock: MockClock, changes: dict[str, object]
) -> None:
    policy = make_copy_policy()
    set_reports(policy, "d", **changes)

    assert select(policy, peer="b") == "c"


async def test_doubted_and_draining_peers_get_no_copy(
    autojump_clock: MockClock,
) -> None:
    policy = make_copy_policy()
    cast("ZonedConfiguration", policy.configuration).draining = frozenset({"d"})
    set_reports(policy, "c", is_healthy=False)

    assert select(policy, peer="b") is CopyRefusal.NO_PEER


async def test_a_service_at_capacity_gets_no_copies(autojump_clock: MockClock) -> None:
    policy = make_copy_policy()
    set_reports(policy, "abc", busy_share=1.0)
    set_reports(policy, "d", busy_share=0.7)

    assert select(policy) is CopyRefusal.LOADED


async def test_limits_below_the_slots_are_the_capacity(
    autojump_clock: MockClock,
) -> None:
    policy = make_copy_policy()
    set_reports(policy, "abcd", slots=10, limit=4, busy_share=0.4)

    assert select(policy) is CopyRefusal.LOADED


async def test_unhealthy_backend_servers_have_no_capacity(
    autojump_clock: MockClock,
) -> None:
    policy = make_copy_policy()
    set_reports(policy, "abc", busy_share=1.0)
    set_reports(policy, "d", busy_share=0.0, is_healthy=False)

    assert select(policy) is CopyRefusal.LOADED


async def test_a_retry_adds_nothing_to_the_budget(autojump_clock: MockClock) -> None:
    policy = make_copy_policy(credit=0.0)

    assert policy.admit(REQUEST, AttemptCount(max_attempts=3, count=2))

    assert policy.budget.credit == 0.0
    assert policy.metrics.candidate_count == 0


async def test_a_full_agent_alone_is_no_peak(autojump_clock: MockClock) -> None:
    policy = make_copy_policy()

    async with policy.admission.admit(REQUEST):
        assert select(policy) == "d"


async def test_old_reports_count_for_nothing(autojump_clock: MockClock) -> None:
    policy = make_copy_policy()
    await trio.sleep(4.0)

    assert select(policy) is CopyRefusal.NO_PEER


async def test_panic_stops_copies(autojump_clock: MockClock) -> None:
    policy = make_copy_policy()
    set_reports(policy, "abc", is_healthy=False)

    assert select(policy) is CopyRefusal.PANIC


@pytest.mark.parametrize(
    ("remaining_s", "late_s", "refusal"),
    [(0.1, 0.0, CopyRefusal.DEADLINE), (10.0, 0.2, CopyRefusal.LATE)],
    ids=["no-time-for-a-run", "process-stood-still"],
)
async def test_time_is_needed_for_a_copy(
    autojump_clock: MockClock, remaining_s: float, late_s: float, refusal: CopyRefusal
) -> None:
    policy = make_copy_policy()

    assert select(policy, remaining_s=remaining_s, late_s=late_s) is refusal


async def test_the_memory_for_answers_is_bounded(autojump_clock: MockClock) -> None:
    policy = make_copy_policy()
    policy.races = MAX_RACES

    assert select(policy) is CopyRefusal.TOO_MANY


async def test_a_refusal_uses_up_no_budget(autojump_clock: MockClock) -> None:
    policy = make_copy_policy(credit=1.0)

    assert select(policy, remaining_s=0.0) is CopyRefusal.DEADLINE
    assert select(policy) == "d"
    assert select(policy) is CopyRefusal.BUDGET


def test_the_least_recent_route_is_forgotten() -> None:
    delays = RouteDelays(max_routes=1)
    routes = [Route(method="GET", template=template) for template in ("/a", "/b")]
    for route in routes:
        for _ in range(20):
            delays.record(route, 0.3)

    assert [delays.read(route) for route in routes] == [None, 0.3]
