"""Load balancing by the least expected wait or utilization."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir_agent.load.load_entry import LoadEntry


@attrs.define(kw_only=True)
class LeastWaitChooser:
    """
    Least expected wait for a request, least expected utilization for a session.

    All agents receive the same reports, about every half second. If each chose the
    least loaded backend server, all would offer their requests to the same one until
    its next report. A request therefore goes to a random backend server with a free
    slot, weighted by spare capacity. If none has a free slot, it goes to the one with
    the least expected wait. Requests and sessions assigned since the report are taken
    into account.
    """

    random: random.Random

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return the backend server least utilized after one more session."""
        demand = self.session_demand(candidates)
        group_size = len(candidates)

        def expected_utilization(entry: LoadEntry) -> float:
            share = demand / entry.capacity
            reported = max(entry.report.busy_share, entry.report.sessions * share)
            # The other agents assign sessions by the same reports at the same time.
            return reported + (entry.sessions * group_size + 1) * share

        return min(candidates, key=expected_utilization)

    def session_demand(self, candidates: Sequence[LoadEntry]) -> float:
        """Return the mean requests per second of a session; 1 when unknown."""
        sessions = sum(entry.report.sessions for entry in candidates)
        work = sum(entry.report.busy_share * entry.capacity for entry in candidates)
        if sessions == 0 or work <= 0.0:
            return 1.0
        return work / sessions

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return a random one with a free slot, or the one with the least wait."""
        free = [entry for entry in candidates if entry.free_slots(is_long=is_long)]
        if not free:
            return min(candidates, key=lambda entry: entry.expected_wait_s)
        weights = [entry.spare_capacity for entry in free]
        return self.random.choices(free, weights=weights)[0]
