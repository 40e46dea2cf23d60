"""Composition of load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.peering.messages import LoadReport
    from oleanderweir_agent.forwarding.acceptance import Acceptance
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher


class ReportBuilder:
    """Builds the load reports of an agent from the state of its parts."""

    def __init__(
        self,
        *,
        service: str,
        table: FlowTable,
        dispatcher: RequestDispatcher,
        acceptance: Acceptance,
    ) -> None:
        self.service = service
        self.table = table
        self.dispatcher = dispatcher
        self.acceptance = acceptance

    def build(self, *, now: float) -> LoadReport:
        """Return a load report of the state now."""
        return self.dispatcher.meter.make_report(
            service=self.service,
            flows=self.table.count_open(),
            waiting=len(self.dispatcher.queue),
            is_accepting=self.acceptance.is_accepting(now=now),
            now=now,
        )
