"""The latest load report of an agent, with the work assigned since."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.load.load_report import LoadReport


@attrs.define(kw_only=True)
class LoadEntry:
    """
    The latest report of one agent, corrected by the work assigned since.

    ``received_at`` is a trio time. ``offers`` and ``sessions`` count the requests
    offered and the sessions assigned to the agent since the report was received.
    """

    report: LoadReport
    received_at: float
    offers: int = 0
    sessions: int = 0

    @property
    def is_healthy(self) -> bool:
        """Whether the agent reports its backend server as healthy."""
        return self.report.is_healthy

    def free_slots(self, *, is_long: bool = False) -> int:
        """Return the reported free slots less the offers since the report."""
        free = self.report.free_long_slots if is_long else self.report.free_slots
        return max(0, free - self.offers)

    @property
    def expected_wait_s(self) -> float:
        """The expected wait of one more request, in seconds."""
        queued = max(0, self.offers - self.report.free_slots)
        completion_interval_s = self.report.service_time_s / max(1, self.report.limit)
        return self.report.expected_wait_s + queued * completion_interval_s

    @property
    def capacity(self) -> float:
        """Requests per second at full load; the limit if service times are unknown."""
        if self.report.service_time_s <= 0.0:
            return float(self.report.limit)
        return self.report.limit / self.report.service_time_s

    @property
    def spare_capacity(self) -> float:
        """Unused requests per second, at least 2 % of the capacity to be above 0."""
        return self.capacity * max(0.02, 1.0 - self.report.busy_share)
