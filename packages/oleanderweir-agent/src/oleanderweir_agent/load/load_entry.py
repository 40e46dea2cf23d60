"""A load report with what has been done since it came."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.load.load_report import LoadReport


@attrs.define(kw_only=True)
class LoadEntry:
    """
    The latest report of one agent, corrected by what it cannot know yet.

    ``received_at`` is a trio time. ``offers`` and ``sessions`` count the requests
    offered to the agent and the sessions given to it since the report came.
    """

    report: LoadReport
    received_at: float
    offers: int = 0
    sessions: int = 0

    @property
    def is_healthy(self) -> bool:
        """Whether the agent takes its backend server for healthy."""
        return self.report.is_healthy

    def free_slots(self, *, is_long: bool = False) -> int:
        """Return the free slots that are left after the offers since the report."""
        free = self.report.free_long_slots if is_long else self.report.free_slots
        return max(0, free - self.offers)

    @property
    def expected_wait_s(self) -> float:
        """The wait of one more request, in seconds."""
        queued = max(0, self.offers - self.report.free_slots)
        completion_interval_s = self.report.service_time_s / max(1, self.report.limit)
        return self.report.expected_wait_s + queued * completion_interval_s

    @property
    def capacity(self) -> float:
        """Requests a second at full use; the slots when the speed is unknown."""
        if self.report.service_time_s <= 0.0:
            return float(self.report.limit)
        return self.report.limit / self.report.service_time_s

    @property
    def spare_capacity(self) -> float:
        """Requests a second that are left, never quite 0."""
        return self.capacity * max(0.02, 1.0 - self.report.busy_share)
