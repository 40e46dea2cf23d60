"""The load reports of the agents of a service."""

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

    Reports may arrive late, repeatedly or out of order. An older report never replaces
    a newer one, even if the newer one has expired. ``members`` are the backend servers
    of the service according to the tickets in force; other reports are dropped.
    """

    members: frozenset[str]
    lifetime_s: float = REPORT_LIFETIME_S
    panic_filter: PanicFilter = attrs.field(factory=PanicFilter)
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    entries: dict[str, LoadEntry] = attrs.field(factory=dict)
    was_panic: bool = False

    def set_members(self, members: frozenset[str]) -> None:
        """Set the members from the tickets in force; drop the reports of others."""
        self.members = members
        for name in self.entries.keys() - members:
            del self.entries[name]

    def merge(self, report: LoadReport) -> ReportResult:
        """Merge a received report, count the result and return it."""
        result = self.merge_uncounted(report)
        self.metrics.load_reports.labels(reason=result.value).inc()
        return result

    def merge_uncounted(self, report: LoadReport) -> ReportResult:
        """Merge a received report without counting the result."""
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
        Return the members that may be assigned new work, ordered by name.

        Members that are draining or whose report has expired are excluded, and so
        are unhealthy ones unless most members are unhealthy.
        """
        fresh = self.fresh()
        self.record_panic(is_panic=self.panic_filter.is_panic(fresh))
        usable = self.panic_filter.usable(fresh)
        return [entry for entry in usable if entry.report.name not in exclude]

    @property
    def is_panic(self) -> bool:
        """Whether most members appear unhealthy, so that health is ignored."""
        return self.panic_filter.is_panic(self.fresh())

    def fresh(self) -> list[LoadEntry]:
        """Return members with an unexpired report that are not draining, by name."""
        oldest = trio.current_time() - self.lifetime_s
        return [
            entry
            for _, entry in sorted(self.entries.items())
            if entry.received_at >= oldest and not entry.report.is_draining
        ]

    def record_panic(self, *, is_panic: bool) -> None:
        """Record whether most members appear unhealthy; count each time this begins."""
        if is_panic and not self.was_panic:
            self.metrics.health_changes.labels(reason=PANIC).inc()
        self.was_panic = is_panic
