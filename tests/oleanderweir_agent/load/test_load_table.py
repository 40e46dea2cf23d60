from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import ReportResult
from tests.oleanderweir_agent.load.load_tables import REPORT
from tests.oleanderweir_agent.load.load_tables import make_table


if TYPE_CHECKING:
    from trio.testing import MockClock


def candidate_names(table: LoadTable) -> list[str]:
    return [entry.report.name for entry in table.candidates()]


async def test_old_and_unknown_reports_are_ignored(
    autojump_clock: MockClock,
) -> None:
    table = make_table(attrs.evolve(REPORT, incarnation=2, sequence=1, slots=8))

    old = table.merge(attrs.evolve(REPORT, incarnation=1, sequence=99))
    duplicate = table.merge(attrs.evolve(REPORT, incarnation=2, sequence=1))
    unknown = table.merge(attrs.evolve(REPORT, name="x"))

    assert (old, duplicate) == (ReportResult.OLD, ReportResult.OLD)
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


async def test_expired_draining_and_removed_members_are_excluded(
    autojump_clock: MockClock,
) -> None:
    table = make_table(REPORT)
    await trio.sleep(2.0)
    table.merge(attrs.evolve(REPORT, name="b"))
    table.merge(attrs.evolve(REPORT, name="c", is_draining=True))
    assert candidate_names(table) == ["a", "b"]

    await trio.sleep(1.1)
    assert candidate_names(table) == ["b"]

    table.set_members(frozenset({"a"}))
    assert candidate_names(table) == []


async def test_unhealthy_members_are_included_when_most_are_unhealthy(
    autojump_clock: MockClock,
) -> None:
    table = make_table(
        attrs.evolve(REPORT, name="a", is_healthy=False),
        attrs.evolve(REPORT, name="b"),
        attrs.evolve(REPORT, name="c"),
    )
    assert candidate_names(table) == ["b", "c"]

    table.merge(attrs.evolve(REPORT, name="b", sequence=2, is_healthy=False))

    assert table.is_panic
    assert candidate_names(table) == candidate_names(table) == ["a", "b", "c"]
    counted = table.metrics.registry.get_sample_value(
        "oleanderweir_agent_health_changes_total", {"reason": "panic"}
    )
    assert counted == 1.0
