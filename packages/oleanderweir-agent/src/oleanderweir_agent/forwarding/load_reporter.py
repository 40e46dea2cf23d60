"""Tells balancers how busy the backend server is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import LoadReport
    from oleanderweir_agent.forwarding.agent_links import AgentLinks


# Reports without a change; below the silence that balancers bear.
KEEPALIVE_S = 0.3


class LoadReporter:
    """Sends a report when it differs from the last one, and from time to time."""

    def __init__(self, *, members: Members, links: AgentLinks) -> None:
        self.members = members
        self.links = links
        self.last: LoadReport | None = None
        self.reported_at = float("-inf")

    def offer(self, report: LoadReport, *, now: float) -> None:
        """Send a report if it is due."""
        if report == self.last and now - self.reported_at < KEEPALIVE_S:
            return
        self.last = report
        self.reported_at = now
        for host in self.members.hosts(PeerRole.BALANCER):
            self.links.tell(host, report)
