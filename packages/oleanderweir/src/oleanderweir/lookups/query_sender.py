"""Sends the queries of lookups, directly or through a delegate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.flows import candidate_hosts
from oleanderweir.peering.messages import DeliveryPurpose


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import Packet
    from oleanderweir.lookups.lookup import Lookup
    from oleanderweir.lookups.lookup_transport import LookupTransport


# With more agents to query, a balancer delegates the lookup. Each query carries the
# caller's packet, and after a failure of all processes the queries would saturate the
# link of a small balancer.
MAX_DIRECT_QUERIES = 3


class QuerySender:
    """
    Sends the queries of lookups.

    With ``use_delegate``, a lookup that would query more than ``MAX_DIRECT_QUERIES``
    agents is delegated to one agent, beginning with the first of the ranking: agents
    have the processors and links for it, and the cost of a lookup on a small balancer
    doesn't grow with the fleet.
    """

    def __init__(
        self, *, register: StateRegister, transport: LookupTransport, use_delegate: bool
    ) -> None:
        self.register = register
        self.transport = transport
        self.use_delegate = use_delegate

    def start_round(
        self, lookup: Lookup, packet: Packet, agents: set[str], *, now: float
    ) -> None:
        """Query the agents that have not denied yet, or delegate the lookup."""
        lookup.queried_at = now
        lookup.attempts += 1
        lookup.query = packet
        lookup.queried |= agents
        pending = agents - lookup.denied_by
        if self.use_delegate and len(pending) > MAX_DIRECT_QUERIES:
            self._delegate(lookup, packet, agents)
        else:
            self.query(lookup, packet, pending)

    def query(self, lookup: Lookup, packet: Packet, hosts: set[str]) -> None:
        """
        Send a packet as a query to each of these agents.

        Only agents that have replied have their backend servers asked: a query may wait
        in the socket of an agent that starts, until long after the owner was found.
        """
        lookup.awaited |= hosts
        for host in sorted(hosts):
            purpose = DeliveryPurpose.TABLE_QUERY
            if host in lookup.unknown_to:
                purpose = DeliveryPurpose.QUERY
                lookup.checked.add(host)
            self.transport.deliver(host, packet, purpose)
        self.transport.log("flow_lookup", packet.key, asked=len(hosts))

    def _delegate(self, lookup: Lookup, packet: Packet, agents: set[str]) -> None:
        """Send a packet to an agent that queries the others for this process."""
        delegate = self._choose_delegate(lookup, agents)
        published = self.register.find_published_hosts()
        if lookup.delegated_hosts is not None:
            # The result may be that of any of the delegates.
            published &= lookup.delegated_hosts
        lookup.delegated_hosts = published
        lookup.delegates.add(delegate)
        self.transport.deliver(delegate, packet, DeliveryPurpose.DELEGATED_LOOKUP)
        self.transport.log("flow_lookup", packet.key, asked=1, delegate=delegate)

    def _choose_delegate(self, lookup: Lookup, agents: set[str]) -> str:
        """Return the delegate: the next agent of the ranking at each attempt."""
        ranked = candidate_hosts(lookup.key, agents, count=lookup.attempts)
        return ranked[-1]
