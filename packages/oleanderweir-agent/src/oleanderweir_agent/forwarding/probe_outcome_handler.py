"""Flows and packets at a backend server that a probe proved to have stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import BackendState


if TYPE_CHECKING:
    from oleanderweir.flows import PacketCodec
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.flow_remover import FlowRemover
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.opening_handler import OpeningHandler
    from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
    from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome
    from oleanderweir_agent.forwarding.table_completeness import TableCompleteness


class ProbeOutcomeHandler:
    """Resets the flows that were lost when the backend server stopped."""

    def __init__(
        self,
        *,
        codec: PacketCodec,
        table: FlowTable,
        liveness: BackendLiveness,
        continuity: BackendContinuity,
        completeness: TableCompleteness,
        ownership: OwnershipChecker,
        remover: FlowRemover,
        opening_handler: OpeningHandler,
        transport: AgentTransport,
    ) -> None:
        self.codec = codec
        self.table = table
        self.liveness = liveness
        self.continuity = continuity
        self.completeness = completeness
        self.ownership = ownership
        self.remover = remover
        self.opening_handler = opening_handler
        self.transport = transport

    def on_probe_outcome(self, outcome: ProbeOutcome, *, checked_at: float) -> None:
        """
        Process the outcome of a probe of the backend server.

        If it proves that the backend server has stopped, every flow that was not used
        since the probe began is lost and is reset. Its caller can then open a new one
        at once, and doesn't send a request that can't be repeated into a flow that no
        process answers.
        """
        now = trio.current_time()
        had_stopped = self.liveness.has_stopped
        self.liveness.on_probe_outcome(outcome, now=checked_at)
        if self.liveness.has_stopped and not had_stopped:
            self.continuity.on_doubt(now=now, reason="stopped")
        self._update_completeness(outcome, checked_at=checked_at, now=now)
        if not self.liveness.has_stopped:
            return
        for flow in self.table.idle_since(checked_at):
            self._reset_lost_flow(flow, now=now)
        self.opening_handler.return_sent_before(checked_at, now=now)
        self.ownership.deny_all(started_before=checked_at)

    def _update_completeness(
        self, outcome: ProbeOutcome, *, checked_at: float, now: float
    ) -> None:
        """Deny pending checks if the probe proves that the table is complete."""
        was_complete = self.completeness.is_complete
        self.completeness.on_probe_outcome(outcome, started_at=checked_at, ended_at=now)
        if self.completeness.is_complete and not was_complete:
            self.ownership.deny_all(started_before=checked_at, is_table_complete=True)

    def _reset_lost_flow(self, flow: HeldFlow, *, now: float) -> None:
        """
        Remove a flow that was lost with its backend server, and reset it if open.

        Skips a flow of which the caller has sent only the opening packet. A backend
        server that drains may close its port before its last flows end: they are reset
        only when their callers send the next packet, which nothing answers any more.
        """
        if flow.opening is not None:
            return
        if flow.is_established and not flow.is_closed and not self._is_draining():
            data = self.codec.make_reset(flow.key, sequence=flow.caller_acknowledged)
            self.transport.reset_flow(flow.key, data, reason="backend_gone")
        self.ownership.record_not_held(flow.key, now=now)
        self.remover.remove(flow.key, now=now)

    def _is_draining(self) -> bool:
        """Whether the backend server drains, or did until its record was removed."""
        record = self.continuity.admission.last_record
        return record is not None and record.state is BackendState.DRAINING
