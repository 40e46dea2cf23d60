"""Whether the backend server accepts new flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.desired_state import BackendState


if TYPE_CHECKING:
    from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.cold_start_limiter import ColdStartLimiter
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission


# How long reports say that the backend server accepts no flows after it rejected an
# opening packet.
FULL_PAUSE_S = 0.1


class Acceptance:
    """Tells whether load reports say that the backend server accepts new flows."""

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        liveness: BackendLiveness,
        continuity: BackendContinuity,
        cold_start: ColdStartLimiter,
    ) -> None:
        self.admission = admission
        self.liveness = liveness
        self.continuity = continuity
        self.cold_start = cold_start
        self.full_until = float("-inf")

    def on_full(self, *, now: float) -> None:
        """Accept no flows for ``FULL_PAUSE_S``: an opening packet was rejected."""
        self.full_until = now + FULL_PAUSE_S

    def is_accepting(self, *, now: float) -> bool:
        """Whether the backend server accepts new flows now."""
        if now < self.full_until or not self.liveness.allows_new_flows():
            return False
        if self.continuity.is_doubted(now=now) or self.admission.is_evacuated:
            return False
        if not self.cold_start.admits(is_last_resort=False, now=now):
            return False
        record = self.admission.record
        return record is None or record.state is BackendState.READY
