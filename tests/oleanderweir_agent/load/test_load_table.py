from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import LoadReport
from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import RandomChooser
from oleanderweir_agent.load import ReportResult
from oleanderweir_agent.load import RoundRobinChooser
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_agent.load import TwoChoicesChooser


if TYPE_CHECKING:
    from trio.testing import MockClock

    from oleanderweir_agent.load import BackendChooser


REPORT = LoadReport(
    name="a",
    incarnation=1,
    sequence=1,
    slots=4,
    limit=4,
    free_slots=4,
    free_long_slots=3,
    waiting=0,
    expected_wait_s=0.0,
    busy_share=0.0,
    service_time_s=0.1,
    sessions=0,
)


def make_table(*reports: LoadReport) -> LoadTable:
    table = LoadTable(members=frozenset({"a", "b", "c"}))
    for report in reports:
        table.merge(report)
    return table


def names(table: LoadTable) -> list[str]:
    return [entry.report.name for entry in table.candidates()]


async def test_old_and_unknown_reports_change_nothing(
    autojump_clock: MockClock,
) -> None:
    table = make_table(attrs.evolve(REPORT, incarnation=2, sequence=1, slots=8))

    old = table.merge(attrs.evolve(REPORT, incarnation=1, sequence=99))
    again = table.merge(attrs.evolve(REPORT, incarnation=2, sequence=1))
    unknown = table.merge(attrs.evolve(REPORT, name="x"))

    assert (old, again) == (ReportResult.OLD, ReportResult.OLD)
    assert unknown is ReportResult.UNKNOWN_MEMBER
    assert table.entries["a"].report.slots == 8


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    versions=st.lists(
        st.tuples(st.integers(1, 4), st.integers(1, 4)), min_size=1, max_size=12
    )
)
def test_any_order_of_reports_ends_at_the_newest(
    versions: list[tuple[int, int]],
) -> None:
    async def merge_all() -> None:
        table = make_table()
        for incarnation, sequence in versions:
            table.merge(
                attrs.evolve(REPORT, incarnation=incarnation, sequence=sequence)
            )
        assert table.entries["a"].report.version == max(versions)

    trio.run(merge_all)


async def test_expired_draining_and_removed_members_take_no_work(
    autojump_clock: MockClock,
) -> None:
    table = make_table(REPORT)
    await trio.sleep(2.0)
    table.merge(attrs.evolve(REPORT, name="b"))
    table.merge(attrs.evolve(REPORT, name="c", is_draining=True))
    assert names(table) == ["a", "b"]

    await trio.sleep(1.1)
    assert names(table) == ["b"]

    table.set_members(frozenset({"a"}))
    assert names(table) == []


async def test_dead_members_are_used_again_when_most_look_dead(
    autojump_clock: MockClock,
) -> None:
    table = make_table(
        attrs.evolve(REPORT, name="a", is_healthy=False),
        attrs.evolve(REPORT, name="b"),
        attrs.evolve(REPORT, name="c"),
    )
    assert names(table) == ["b", "c"]

    table.merge(attrs.evolve(REPORT, name="b", sequence=2, is_healthy=False))

    assert table.is_panic
    assert names(table) == names(table) == ["a", "b", "c"]
    counted = table.metrics.registry.get_sample_value(
        "oleanderweir_agent_health_changes_total", {"reason": "panic"}
    )
    assert counted == 1.0


@pytest.mark.parametrize(
    "chooser",
    [
        RandomChooser(random=random.Random(1)),
        RoundRobinChooser(),
        TwoChoicesChooser(random=random.Random(1)),
        LeastWaitChooser(random=random.Random(1)),
    ],
    ids=["random", "round-robin", "two-choices", "least-wait"],
)
async def test_every_chooser_reaches_every_peer_but_the_own_and_the_excluded(
    autojump_clock: MockClock, chooser: BackendChooser
) -> None:
    table = make_table(*(attrs.evolve(REPORT, name=name) for name in "abc"))
    group = ServiceGroup(own_name="a", table=table, chooser=chooser)

    assert {group.choose_peer() for _ in range(50)} == {"b", "c"}
    assert {group.choose_peer(exclude={"b"}) for _ in range(5)} == {"c"}
    assert group.choose_peer(exclude={"b", "c"}) is None
    assert {group.choose_host() for _ in range(50)} == {"a", "b", "c"}


async def test_least_wait_gives_sessions_by_speed(autojump_clock: MockClock) -> None:
    table = make_table(
        attrs.evolve(REPORT, name="a", service_time_s=0.1),
        attrs.evolve(REPORT, name="b", service_time_s=0.4),
    )
    chooser = LeastWaitChooser(random=random.Random(1))
    group = ServiceGroup(own_name="a", table=table, chooser=chooser)

    hosts = [group.choose_host() for _ in range(100)]

    assert 75 <= hosts.count("a") <= 85


async def test_least_wait_corrects_a_report_by_its_own_offers(
    autojump_clock: MockClock,
) -> None:
    table = make_table(
        attrs.evolve(REPORT, name="b", free_slots=1),
        attrs.evolve(REPORT, name="c", free_slots=0, expected_wait_s=0.05),
    )
    chooser = LeastWaitChooser(random=random.Random(1))
    group = ServiceGroup(own_name="a", table=table, chooser=chooser)

    offers = [group.choose_peer() for _ in range(6)]

    assert offers[0] == "b"
    assert offers.count("c") >= 1
