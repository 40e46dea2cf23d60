"""Sends load reports of the backend server to the balancers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.report_interval import keepalive_s
from oleanderweir.peering.report_interval import report_interval_s


if TYPE_CHECKING:
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import LoadReport
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport


class ReportSender:
    """Sends reports that differ from the last one, and unchanged ones as keepalives."""

    def __init__(self, *, members: Members, transport: AgentTransport) -> None:
        self.members = members
        self.transport = transport
        self.last_report: LoadReport | None = None
        self.sent_at = float("-inf")

    def is_due(self, *, fleet_size: int, now: float) -> bool:
        """Whether the interval for ``fleet_size`` backend servers has passed."""
        return now - self.sent_at >= report_interval_s(fleet_size)

    def send_if_changed(
        self, report: LoadReport, *, fleet_size: int, now: float
    ) -> None:
        """Send a report if it differs from the last one, or a keepalive is due."""
        if report == self.last_report and now - self.sent_at < keepalive_s(fleet_size):
            return
        self.last_report = report
        self.sent_at = now
        for host in self.members.hosts(PeerRole.BALANCER):
            self.transport.send(host, report)
