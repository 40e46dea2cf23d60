from __future__ import annotations

from oleanderweir_agent.load import LoadReport
from oleanderweir_agent.load import LoadTable


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
