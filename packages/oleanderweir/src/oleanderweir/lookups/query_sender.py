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
    from oleanderweir.peering import Members


# With more agents to query, a balancer delegates the lookup. Each query carries the
# caller's packet, and after a failure of all processes the queries would saturate the
# link of a small balancer.
MAX_DIRECT_QUERIES = 3
# Hosts that one delegated lookup names, so that it fits a datagram beside the packet.
MAX_DELEGATED_HOSTS = 128
# How long an agent that was named to a delegate may take to deny.
DELEGATED_REPLY_TIMEOUT_S = 1.0


class QuerySender:
    """
    Sends the queries of lookups.

    With ``use_delegate``, a lookup that would query more than ``MAX_DIRECT_QUERIES``
    agents is delegated to one agent, beginning with the first of the ranking: agents
    have the processors and links for it, and the cost of a lookup on a small balancer
    doesn't grow with the fleet.
    """

    def __init__(
        self,
        *,
        register: StateRegister,
        members: Members,
        transport: LookupTransport,
        use_delegate: bool,
    ) -> None:
        self.register = register
        self.members = members
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
            self._delegate(lookup, packet, pending, now=now)
        else:
            self.query(lookup, packet, pending, now=now)

    def query(
        self, lookup: Lookup, packet: Packet, hosts: set[str], *, now: float
    ) -> None:
        """
        Send a packet as a query to each of these agents.

        Only agents that have replied have their backend servers asked: a query may wait
        in the socket of an agent that starts, until long after the owner was found.
        """
        lookup.awaited |= hosts
        for host in sorted(hosts):
            if not self._was_queried(lookup, host):
                lookup.first_query_at[host] = now
            purpose = DeliveryPurpose.TABLE_QUERY
            if host in lookup.unknown_to:
                purpose = DeliveryPurpose.QUERY
                lookup.checked.add(host)
            self.transport.deliver(host, packet, purpose)
        self.transport.log("flow_lookup", packet.key, asked=len(hosts))

    def _was_queried(self, lookup: Lookup, host: str) -> bool:
        """Whether an agent was queried since it was last heard again."""
        queried_at = lookup.first_query_at.get(host)
        return queried_at is not None and queried_at >= self.members.reappeared_at(host)

    def query_unasked(self, lookup: Lookup, packet: Packet, *, now: float) -> None:
        """
        Query the agents that a delegate's queries, or those of this process, missed.

        An agent that was being restarted lost what was sent to it. So did one that has
        not denied long after it was named to a delegate.
        """
        limit = now - DELEGATED_REPLY_TIMEOUT_S
        named = {h for h, named_at in lookup.named_at.items() if named_at <= limit}
        hosts = (named | lookup.first_query_at.keys()) - lookup.denied_by
        unasked = sorted(h for h in hosts if not self._was_queried(lookup, h))
        chosen = set(unasked[:MAX_DIRECT_QUERIES])
        lookup.checked -= chosen
        lookup.unknown_to -= chosen
        if chosen:
            self.query(lookup, packet, chosen, now=now)

    def _delegate(
        self, lookup: Lookup, packet: Packet, pending: set[str], *, now: float
    ) -> None:
        """
        Send a packet to an agent that queries the others for this process.

        An agent knows those of published backend servers and few others. Once any
        agents have denied, it gets the names of those that have not.
        """
        published = self.register.find_published_hosts()
        hosts: tuple[str, ...] = ()
        covered = published
        if lookup.denied_by or not pending & published:
            hosts = self._choose_hosts(lookup, pending, now=now)
            covered = frozenset(hosts)
        delegate = self._choose_delegate(lookup, pending, published)
        lookup.delegates.add(delegate)
        if packet.is_retransmitted:
            lookup.continuing.add(delegate)
        # The result may be that of either lookup.
        lookup.delegations[delegate] = covered & lookup.delegations.get(
            delegate, covered
        )
        self.transport.deliver(
            delegate, packet, DeliveryPurpose.DELEGATED_LOOKUP, hosts=hosts
        )
        self.transport.log(
            "flow_lookup", packet.key, asked=1, delegate=delegate, named=len(hosts)
        )

    def _choose_hosts(
        self, lookup: Lookup, pending: set[str], *, now: float
    ) -> tuple[str, ...]:
        """Return the hosts that a delegate is to query."""
        hosts = tuple(candidate_hosts(lookup.key, pending, count=MAX_DELEGATED_HOSTS))
        for host in hosts:
            lookup.named_at.setdefault(host, now)
        return hosts

    def _choose_delegate(
        self, lookup: Lookup, pending: set[str], published: frozenset[str]
    ) -> str:
        """
        Return the next agent of the ranking that has not been a delegate yet.

        A second result of the same delegate may be a copy of its first, which doesn't
        cover the hosts of the second lookup.
        """
        unused = pending - lookup.delegates or published - lookup.delegates
        [delegate] = candidate_hosts(lookup.key, unused or pending, count=1)
        return delegate
