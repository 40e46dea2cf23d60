"""The least expected wait, with regard to speed."""

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
    The least expected wait for a request, the least expected use for a session.

    Reports are old by half a second and all agents read the same ones; so a request
    goes to one of those with a free slot, drawn by spare capacity, and only when
    none has a free slot to the least wait. What was given since the report counts.
    """

    random: random.Random

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return the one whose slots would be least in use with one session more."""
        demand = self.session_demand(candidates)
        group_size = len(candidates)

        def expected_utilization(entry: LoadEntry) -> float:
            share = demand / entry.capacity
            reported = max(entry.report.busy_share, entry.report.sessions * share)
            # The other agents give sessions away as well, by the same reports.
            return reported + (entry.sessions * group_size + 1) * share

        return min(candidates, key=expected_utilization)

    def session_demand(self, candidates: Sequence[LoadEntry]) -> float:
        """Return the requests a second of a mean session; 1 when unknown."""
        sessions = sum(entry.report.sessions for entry in candidates)
        work = sum(entry.report.busy_share * entry.capacity for entry in candidates)
        if sessions == 0 or work <= 0.0:
            return 1.0
        return work / sessions

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return one with a free slot, drawn by spare capacity, or the least wait."""
        free = [entry for entry in candidates if entry.free_slots(is_long=is_long)]
        if not free:
            return min(candidates, key=lambda entry: entry.expected_wait_s)
        weights = [entry.spare_capacity for entry in free]
        return self.random.choices(free, weights=weights)[0]
