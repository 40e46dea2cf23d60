"""What was seen while backend servers left."""

from __future__ import annotations

import attrs


MAX_LAST_START_S = 3.0


@attrs.frozen(kw_only=True)
class DepartureResult:
    """
    What was seen while one backend server drained and an agent shut down.

    ``last_start_s`` is the time from the acceptance of the drain ticket to the last
    start of work there. ``exit_code`` is that of the agent that shut down.
    """

    reports_answered: int
    reports_moved: int
    reports_failed: int
    reports_started_twice: int
    last_start_s: float
    long_requests: int
    long_requests_answered: int
    exit_code: int | None

    @property
    def is_passed(self) -> bool:
        """Whether everything was as promised."""
        return (
            self.reports_failed == 0
            and self.reports_started_twice == 0
            and self.last_start_s <= MAX_LAST_START_S
            and self.long_requests_answered == self.long_requests
            and self.exit_code == 0
        )
