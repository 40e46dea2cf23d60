"""The result of the departure experiment."""

from __future__ import annotations

import attrs


MAX_LAST_START_S = 3.0


@attrs.frozen(kw_only=True)
class DepartureResult:
    """
    Counts from the drain of one backend server and the shutdown of an agent.

    ``last_start_s`` is the time from the publication of the drain ticket until the
    drained backend server last started work. ``exit_code`` is that of the agent that
    was shut down.
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
        """
        Whether no guarantee of a departure was violated.

        No report failed or started twice, the drained backend server started no work
        after ``MAX_LAST_START_S``, every long request succeeded, and the agent exited
        with 0.
        """
        return (
            self.reports_failed == 0
            and self.reports_started_twice == 0
            and self.last_start_s <= MAX_LAST_START_S
            and self.long_requests_answered == self.long_requests
            and self.exit_code == 0
        )
