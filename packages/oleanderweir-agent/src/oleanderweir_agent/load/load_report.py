"""The load report that an agent sends to the other agents of its service."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """
    The load of one backend server, as reported by its agent.

    ``incarnation`` rises with each start of the agent and ``sequence`` with each
    report. ``busy_share`` is the mean share of slots in use over the last few seconds,
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
        """The sort key that orders the reports of one agent."""
        return (self.incarnation, self.sequence)
