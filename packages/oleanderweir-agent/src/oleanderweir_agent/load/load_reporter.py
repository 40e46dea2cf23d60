"""Creation of the load reports of this agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.load.load_report import LoadReport


if TYPE_CHECKING:
    from oleanderweir_agent.queueing import Admission


REPORT_INTERVAL_S = 0.5


@attrs.define(kw_only=True, eq=False)
class LoadReporter:
    """Creates the load reports of one backend server, numbered in sequence."""

    name: str
    incarnation: int
    admission: Admission
    sessions: int = 0
    sequence: int = 0

    def report(self) -> LoadReport:
        """Return a report of the current load, with the next sequence number."""
        self.sequence += 1
        admission = self.admission
        return LoadReport(
            name=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            slots=admission.slots,
            limit=admission.limit,
            free_slots=admission.free_slots,
            free_long_slots=admission.free_long_slots,
            waiting=len(admission.queue.waiting),
            expected_wait_s=admission.forecast.wait_s(admission.snapshot()),
            busy_share=admission.busy_meter.read(),
            service_time_s=admission.service_times.overall.mean_s,
            sessions=self.sessions,
            is_draining=admission.drain.is_draining,
            is_healthy=admission.health.is_usable,
        )
