"""
Proof that the agent's flow table has every flow that the backend server can hold.

Every packet of the backend server passes the agent, and a caller can only acknowledge
an answer to its opening packet that has passed. The table is therefore complete if the
backend server did not run at some time since the start of this process. Entries are
removed later only if the flow has ended, if it is older than its time to live, or if
the backend server was proved not to hold it. Neither a presumed crash nor a caller's
reset is such a proof: a removal for one of these ends the completeness.

A single refused probe is not enough: a backend server that is starting may have opened
flows, through an earlier process of the agent, before it listens. The probes have to be
refused for ``REFUSED_FOR_S``, and the backend server must have sent nothing. Only times
of the process's own steady clock are compared, which changes of the time of day and
suspensions of the machine don't affect.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from oleanderweir.desired_state import BackendState
from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


if TYPE_CHECKING:
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission


# How long probes must have been refused. Longer than ``MAX_PROBE_DISTANCE_S``, so that
# at least three probes are needed.
REFUSED_FOR_S = 0.6
# Maximum time between two probes of a series: after a longer pause of this process,
# packets of the backend server may be waiting unread in its socket.
MAX_PROBE_DISTANCE_S = 0.55


class TableCompleteness:
    """
    Tells whether a flow that is not in the table can't be held by the backend server.

    Probes prove this only while the backend server is published as ready: one that is
    draining may close its port before its idle flows have ended.
    """

    def __init__(self, *, admission: FlowAdmission, liveness: BackendLiveness) -> None:
        self.admission = admission
        self.liveness = liveness
        self.is_complete = False
        # When the first probe of the present series of refused ones ended.
        self.refused_since = math.inf
        # When the last probe of that series ended.
        self.refused_at = -math.inf

    def on_probe_outcome(
        self, outcome: ProbeOutcome, *, started_at: float, ended_at: float
    ) -> None:
        """Record the outcome of a probe that ``liveness`` has recorded already."""
        if outcome is not ProbeOutcome.REFUSED or not self._is_published_as_ready():
            self.refused_since = math.inf
            return
        if ended_at - self.refused_at > MAX_PROBE_DISTANCE_S:
            self.refused_since = math.inf
        self.refused_since = min(self.refused_since, ended_at)
        self.refused_at = ended_at
        has_never_run = (
            self.liveness.is_unheard
            and started_at - self.refused_since >= REFUSED_FOR_S
        )
        if has_never_run or self.liveness.has_stopped:
            self.is_complete = True

    def on_unproven_removal(self) -> None:
        """Record that a flow is removed although the backend server may hold it."""
        self.is_complete = False
        self.refused_since = math.inf

    def _is_published_as_ready(self) -> bool:
        record = self.admission.record
        return record is not None and record.state is BackendState.READY
