"""The published record of the backend server: its slots and restarts."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir_agent.forwarding.cold_period import ColdPeriod
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher


logger = logging.getLogger(__name__)


class BackendRecordFollower:
    """Applies changes of the published record of the backend server."""

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        dispatcher: RequestDispatcher,
        table: FlowTable,
        cold_period: ColdPeriod,
    ) -> None:
        self.admission = admission
        self.dispatcher = dispatcher
        self.table = table
        self.cold_period = cold_period
        self.backend_started_at_ms = 0

    def on_state_change(self) -> None:
        """Apply the published record of the backend server."""
        record = self.admission.update_record()
        self.cold_period.on_record(record, now=trio.current_time())
        if record is None:
            return
        self.dispatcher.meter.slots = record.slots
        if self.backend_started_at_ms not in (0, record.started_at_ms):
            self._on_restart(record.started_at_ms)
        self.backend_started_at_ms = record.started_at_ms

    def _on_restart(self, started_at_ms: int) -> None:
        """Drop the requests that were in flight when the backend server restarted."""
        now = trio.current_time()
        started_at = now - max(0.0, time.time() - started_at_ms / 1000)
        lost = [
            flow
            for flow in self.table.flows.values()
            if flow.requested_at is not None and flow.requested_at < started_at
        ]
        for flow in lost:
            self.dispatcher.drop(flow, now=now)
        logger.warning(
            "backend server restarted; dropped requests from before the restart",
            extra={
                "code": "backend_restarted",
                "started_at_ms": started_at_ms,
                "requests": len(lost),
            },
        )
