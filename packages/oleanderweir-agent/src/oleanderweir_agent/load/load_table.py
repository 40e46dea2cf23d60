"""The load of every agent of a service, as far as it is fresh."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.health import PanicFilter
from oleanderweir_agent.load.load_entry import LoadEntry
from oleanderweir_agent.load.report_result import ReportResult
from oleanderweir_agent.verdicts import RequestMetrics


if TYPE_CHECKING:
    from collections.abc import Collection

    from oleanderweir_agent.load.load_report import LoadReport


REPORT_LIFETIME_S = 3.0
PANIC = "panic"


@attrs.define(kw_only=True, eq=False)
class LoadTable:
    """
    The latest report of each member, merged by incarnation and sequence.

    Reports come in any order, more than once or late: an older one never replaces a
    newer one, also when the newer one has expired. ``members`` are the backend
    servers of the service by the tickets in force; reports of others are dropped.
    """

    members: frozenset[str]
    lifetime_s: float = REPORT_LIFETIME_S
    panic_filter: PanicFilter = attrs.field(factory=PanicFilter)
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    entries: dict[str, LoadEntry] = attrs.field(factory=dict)
    was_panic: bool = False

    def set_members(self, members: frozenset[str]) -> None:
        """Follow the tickets in force; forget those that are gone."""
        self.members = members
        for name in self.entries.keys() - members:
            del self.entries[name]

    def merge(self, report: LoadReport) -> ReportResult:
        """Take in one report; tell what became of it."""
        result = self.merge_uncounted(report)
        self.metrics.load_reports.labels(reason=result.value).inc()
        return result

    def merge_uncounted(self, report: LoadReport) -> ReportResult:
        """Take in one report without counting it."""
        if report.name not in self.members:
            return ReportResult.UNKNOWN_MEMBER
        entry = self.entries.get(report.name)
        if entry is not None and report.version <= entry.report.version:
            return ReportResult.OLD
        self.entries[report.name] = LoadEntry(
            report=report, received_at=trio.current_time()
        )
        return ReportResult.MERGED

    def candidates(self, *, exclude: Collection[str] = ()) -> list[LoadEntry]:
        """
        Return those that new work may go to, ordered by name.

        Expired reports and draining members are left out, and those that look dead
        unless most do.
        """
        fresh = self.fresh()
        self.record_panic(is_panic=self.panic_filter.is_panic(fresh))
        usable = self.panic_filter.usable(fresh)
        return [entry for entry in usable if entry.report.name not in exclude]

    @property
    def is_panic(self) -> bool:
        """Whether most members look dead, so that health is ignored."""
        return self.panic_filter.is_panic(self.fresh())

    def fresh(self) -> list[LoadEntry]:
        """Return the members with a fresh report that do not drain, by name."""
        oldest = trio.current_time() - self.lifetime_s
        return [
            entry
            for _, entry in sorted(self.entries.items())
            if entry.received_at >= oldest and not entry.report.is_draining
        ]

    def record_panic(self, *, is_panic: bool) -> None:
        """Count each time that most members begin to look dead."""
        if is_panic and not self.was_panic:
            self.metrics.health_changes.labels(reason=PANIC).inc()
        self.was_panic = is_panic
