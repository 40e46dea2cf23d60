"""What an agent tells the others of its service about its load."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """
    The load of one backend server, as its agent saw it.

    ``incarnation`` rises with each start of the agent and ``sequence`` with each
    report. ``busy_share`` is the mean share of slots in use over the last seconds,
    ``service_time_s`` the mean service time, 0 when unknown.
    """

    name: str
    incarnation: int
    sequence: int
    slots: int
    limit: int
    free_slots: int
    free_long_slots: int
    waiting: int
    expected_wait_s: float
    busy_share: float
    service_time_s: float
    sessions: int
    is_draining: bool = False
    is_healthy: bool = True

    @property
    def version(self) -> tuple[int, int]:
        """What orders the reports of one agent."""
        return (self.incarnation, self.sequence)
