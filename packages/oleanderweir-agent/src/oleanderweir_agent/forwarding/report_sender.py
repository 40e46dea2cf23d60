"""Tells balancers how busy the backend server is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.report_interval import keepalive_s
from oleanderweir.peering.report_interval import report_interval_s


if TYPE_CHECKING:
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import LoadReport
    from oleanderweir_agent.forwarding.agent_links import AgentLinks


class ReportSender:
    """Sends a report when it differs from the last one, and from time to time."""

    def __init__(self, *, members: Members, links: AgentLinks) -> None:
        self.members = members
        self.links = links
        self.last: LoadReport | None = None
        self.reported_at = float("-inf")

    def is_due(self, *, fleet_size: int, now: float) -> bool:
        """Whether a report may go out in a fleet of so many backend servers."""
        return now - self.reported_at >= report_interval_s(fleet_size)

    def offer(self, report: LoadReport, *, fleet_size: int, now: float) -> None:
        """Send a report if it tells anything new, or the last one is old."""
        if report == self.last and now - self.reported_at < keepalive_s(fleet_size):
            return
        self.last = report
        self.reported_at = now
        for host in self.members.hosts(PeerRole.BALANCER):
            self.links.tell(host, report)
