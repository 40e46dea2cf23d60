"""
Decides when and where a slow opening packet is sent a second time.

It is for a healthy fleet in which a few backend servers or agents stand still: their
new flows would wait for the caller's own copy. It does nothing for a fleet that is slow
because it is loaded, where a second copy would only add to the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.desired_state import BackendState
from oleanderweir.hedging import HedgeBudget
from oleanderweir.hedging import HedgeDelay
from oleanderweir_balancer.forwarding.opening_attempts import FIRST_COPY_DELAY_S
from oleanderweir_balancer.forwarding.withheld_reason import WithheldReason


if TYPE_CHECKING:
    from collections.abc import Collection

    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.flows import FlowKey
    from oleanderweir_balancer.forwarding.placement_policy import PlacementPolicy


# Bounds of the hedge delay. Shorter ones would hedge ordinary jitter; at the longer one
# half of the time to the caller's own copy has passed.
MIN_DELAY_S = 0.02
MAX_DELAY_S = FIRST_COPY_DELAY_S / 2


class HedgingPolicy:
    """Limits hedges to ``max_share`` of the new flows that may be hedged; 0 is off."""

    def __init__(self, *, max_share: float, placement: PlacementPolicy) -> None:
        self.placement = placement
        self.budget = HedgeBudget(max_share=max_share)
        self.opening_times = HedgeDelay(min_s=MIN_DELAY_S, max_s=MAX_DELAY_S)

    @property
    def is_enabled(self) -> bool:
        """Whether any flow may be hedged."""
        return self.budget.max_share > 0

    @property
    def delay_s(self) -> float:
        """The time after which a flow that hasn't opened is hedged, in seconds."""
        usual_s = self.opening_times.read()
        return MAX_DELAY_S if usual_s is None else usual_s

    def select(
        self,
        candidates: Collection[BackendRecord],
        *,
        key: FlowKey,
        first_agent: str,
        now: float,
    ) -> BackendRecord | WithheldReason:
        """
        Return the backend server for a hedge, and use up a part of the budget for it.

        Return the reason if there is none. The service must have free slots on average,
        and the backend server one of its own; it isn't that of ``first_agent``.
        """
        accepting = [r for r in candidates if self._accepts_flows(r, now=now)]
        if not accepting:
            return WithheldReason.NO_REPORT
        if self._is_loaded(accepting):
            return WithheldReason.LOADED
        free = [
            r for r in accepting if r.host != first_agent and self._has_free_slot(r)
        ]
        if not free:
            return WithheldReason.NO_FREE_SLOT
        if not self.budget.take():
            return WithheldReason.BUDGET
        chosen = self.placement.place(free, key=key, excluding={first_agent}, now=now)
        return chosen or WithheldReason.NO_FREE_SLOT

    def _accepts_flows(self, record: BackendRecord, *, now: float) -> bool:
        """Whether the agent of a backend server reports now, and accepts new flows."""
        load = self.placement.loads.get(record.host)
        if load is None or self.placement.is_silent(record.host, now=now):
            return False
        return load.report.is_accepting

    def _is_loaded(self, records: Collection[BackendRecord]) -> bool:
        """Whether backend servers have as many requests as slots, on average."""
        busy = sum(self.placement.loads[r.host].report.busy for r in records)
        return busy >= sum(record.slots for record in records)

    def _has_free_slot(self, record: BackendRecord) -> bool:
        """Whether a backend server is ready, not cold, and has a free slot."""
        report = self.placement.loads[record.host].report
        placed = self.placement.placed_since_report[record.host]
        return (
            record.state is BackendState.READY
            and report.service == record.service
            and record.cold_remaining_s <= 0
            and report.busy + placed < record.slots
        )
