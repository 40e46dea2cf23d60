"""What the agent doesn't know of its backend server's flows, and finds out from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.search import Search


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_agent.forwarding.agent_links import AgentLinks


# How long a flow that the backend server gave back is known not to be held.
ABSENCE_LEASE_S = 5.0


class BackendSearches:
    """Packets that the backend server either takes or gives back, and what it gave."""

    def __init__(self, *, links: AgentLinks) -> None:
        self.links = links
        # Balancers that wait to hear whether the backend server holds a flow.
        self.searches: dict[FlowKey, Search] = {}
        # Flows that the backend server gave back, and when.
        self.absent: dict[FlowKey, float] = {}

    def __len__(self) -> int:
        return len(self.searches)

    def begin(self, host: str, packet: Packet, *, now: float) -> None:
        """Hand a packet of an unknown flow to the backend server."""
        ends_before = packet.sequence + packet.payload_bytes
        self.searches[packet.key] = Search(
            balancer=host,
            data=packet.data,
            asked_at=now,
            ends_before=ends_before if packet.payload_bytes else None,
        )
        self.links.hand_over(packet.data)

    def take(self, key: FlowKey) -> Search | None:
        """End the search for a flow; return it."""
        return self.searches.pop(key, None)

    def note_absent(self, key: FlowKey, *, now: float) -> None:
        """Note that the backend server doesn't hold a flow."""
        self.absent[key] = now

    def note_opening(self, key: FlowKey) -> None:
        """Note that the backend server may hold a flow from now on."""
        self.absent.pop(key, None)

    def is_absent(self, key: FlowKey, *, now: float) -> bool:
        """Whether the backend server gave a packet of the flow back lately."""
        since = self.absent.get(key)
        return since is not None and now - since < ABSENCE_LEASE_S

    def deny_all(self) -> None:
        """Answer every search, since the backend server never will."""
        for key, search in self.searches.items():
            self.links.give_back(
                search.balancer, key, search.data, ReturnReason.NOT_HELD
            )
        self.searches.clear()

    def expire(self, *, now: float) -> None:
        """Forget what is over."""
        limit = now - ABSENCE_LEASE_S
        self.absent = {k: since for k, since in self.absent.items() if since > limit}
        self.searches = {
            key: search
            for key, search in self.searches.items()
            if search.asked_at > limit
        }
