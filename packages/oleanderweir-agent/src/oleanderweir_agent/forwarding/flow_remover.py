"""Removal of flows that the backend server doesn't hold, or not any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import ReturnReason


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.pending_openings import PendingOpenings
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher


class FlowRemover:
    """Removes flows with their requests, and returns packets of removed flows."""

    def __init__(
        self,
        *,
        table: FlowTable,
        openings: PendingOpenings,
        dispatcher: RequestDispatcher,
        liveness: BackendLiveness,
        transport: AgentTransport,
    ) -> None:
        self.table = table
        self.openings = openings
        self.dispatcher = dispatcher
        self.liveness = liveness
        self.transport = transport

    def remove(self, key: FlowKey, *, now: float) -> None:
        """Remove a flow with its request."""
        self.openings.discard(key)
        flow = self.table.remove(key)
        if flow is not None:
            self.dispatcher.drop(flow, now=now)

    def return_unheld(self, host: str, flow: HeldFlow, data: bytes) -> None:
        """Return a packet of a flow that the backend server doesn't hold any more."""
        self.transport.return_packet(
            host,
            flow.key,
            data,
            # Another backend server may hold a flow that was only opened here.
            ReturnReason.LOST if flow.is_established else ReturnReason.NOT_HELD,
            **flow.describe_progress(),
            has_stopped=self.liveness.has_stopped,
        )
