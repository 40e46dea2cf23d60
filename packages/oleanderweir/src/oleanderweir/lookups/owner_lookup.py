"""Finds out which agent's backend server holds a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.flows import LOOKUP_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.flows import route_address
from oleanderweir.lookups.lookup_table import LookupTable
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.lookups.lookup import Lookup
    from oleanderweir.lookups.lookup_transport import LookupTransport
    from oleanderweir.peering import Members


# Agents that a balancer asks by itself. Each question carries the caller's packet, and
# the link of a small balancer would be full of them after a loss of all processes.
MAX_DIRECT_QUERIES = 3
# After so many unanswered questions all agents are asked: one that is gone, but still
# published, would never deny.
TARGETED_ATTEMPTS = 3


class OwnerLookup:
    """
    Asks agents for flows that the balancer's cache lacks.

    The first agents of the flow's ranking are asked before all others, since it was
    probably placed there. A flow is reset only when every agent denied to hold it.
    With ``delegates``, one agent is asked to ask the others, the first of the ranking
    at first: agents have the processors and the links for it, and the cost of a search
    on a small balancer doesn't grow with the fleet.
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
        self.lookups = LookupTable()

    def look_up(self, packet: Packet, *, now: float) -> None:
        """Ask for the owner of a packet's flow, or let the packet wait for it."""
        if packet.is_reset:
            return
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is None:
            return
        if lookup.has_no_owner:
            self.transport.on_no_owner(packet)
            return
        agents = self._possible_owners(lookup)
        if not agents or not self.lookups.is_due(lookup, now=now):
            self.lookups.buffer(lookup, packet)
        elif self._is_denied_by_all(lookup, agents, now=now):
            # Whoever did not answer is published no more.
            self._widen_or_fail(lookup, packet, now=now)
        else:
            self._send_queries(lookup, packet, agents, now=now)

    def on_owner(self, host: str, key: FlowKey, *, now: float) -> None:
        """Send what waited for the owner of a flow."""
        self.transport.on_owner_found(key, host)
        lookup = self.lookups.close(key)
        if lookup is None:
            return
        for packet in lookup.buffered:
            self.transport.deliver(host, packet, DeliveryPurpose.CONTINUE)
        self.transport.log(
            "flow_found",
            key,
            agent=host,
            held=len(lookup.buffered),
            took_ms=round((now - lookup.started_at) * 1000, 1),
        )

    def on_denial(self, host: str, packet: Packet, *, now: float) -> None:
        """Reset a flow that every possible owner denied to hold."""
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is None or lookup.has_no_owner:
            return
        lookup.denied_by.add(host)
        if not lookup.queried:
            self.look_up(packet, now=now)
        elif self._is_denied_by_all(lookup, self._possible_owners(lookup), now=now):
            self._widen_or_fail(lookup, packet, now=now)

    def on_no_owner(self, packet: Packet, *, now: float) -> None:
        """Take it from the agent that searched that nobody holds a flow."""
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is not None and not lookup.has_no_owner:
            lookup.has_no_owner = True
            self.transport.on_no_owner(packet)

    def query_deferred(self, *, now: float) -> None:
        """Ask for flows whose packets came before any agent was known."""
        for lookup in self.lookups.deferred():
            agents = self._possible_owners(lookup)
            if agents:
                self._send_queries(lookup, lookup.buffered.pop(0), agents, now=now)

    def retry(self, *, now: float) -> None:
        """Ask again for flows that not all agents answered for."""
        for lookup in self.lookups.due_for_retry(now=now):
            lookup.is_fleet_wide = (
                lookup.is_fleet_wide or lookup.attempts >= TARGETED_ATTEMPTS
            )
            agents = self._possible_owners(lookup)
            if lookup.query is None:
                continue
            if self._is_denied_by_all(lookup, agents, now=now):
                self._widen_or_fail(lookup, lookup.query, now=now)
            else:
                self._send_queries(lookup, lookup.query, agents, now=now)

    def expire(self, *, now: float) -> None:
        """End searches that nobody answered."""
        for lookup in self.lookups.expire(now=now):
            if not lookup.has_no_owner:
                self.transport.log(
                    "lookup_unanswered",
                    lookup.key,
                    asked=sorted(lookup.queried - lookup.denied_by),
                )

    def _send_queries(
        self, lookup: Lookup, packet: Packet, agents: set[str], *, now: float
    ) -> None:
        """Send a packet to the agents whose backend servers may hold its flow."""
        lookup.queried_at = now
        lookup.attempts += 1
        lookup.query = packet
        lookup.queried |= agents
        if self.use_delegate and len(agents - lookup.denied_by) > MAX_DIRECT_QUERIES:
            delegate = self._choose_delegate(lookup, agents)
            self.transport.deliver(delegate, packet, DeliveryPurpose.DELEGATED_LOOKUP)
            self.transport.log("flow_lookup", packet.key, asked=1, delegate=delegate)
            return
        for host in sorted(agents - lookup.denied_by):
            self.transport.deliver(host, packet, DeliveryPurpose.QUERY)
        self.transport.log("flow_lookup", packet.key, asked=len(agents))

    def _choose_delegate(self, lookup: Lookup, agents: set[str]) -> str:
        """Return the agent that asks the others, the next one at each try."""
        ranked = candidate_hosts(lookup.key, agents, count=lookup.attempts)
        return ranked[-1]

    def _widen_or_fail(self, lookup: Lookup, packet: Packet, *, now: float) -> None:
        """Ask all agents; reset the flow if all of them denied."""
        if not packet.payload_bytes and not lookup.buffered:
            # Nobody waits for an answer to it, and the caller's next payload is asked
            # for anew; most such packets belong to flows that just ended.
            self.lookups.close(lookup.key)
            return
        if not lookup.is_fleet_wide:
            lookup.is_fleet_wide = True
            others = self._possible_owners(lookup)
            if not self._is_denied_by_all(lookup, others, now=now):
                self._send_queries(lookup, packet, others, now=now)
                return
        lookup.has_no_owner = True
        self.transport.on_no_owner(packet)

    def _is_denied_by_all(
        self, lookup: Lookup, agents: set[str], *, now: float
    ) -> bool:
        """
        Whether every one of these agents denied to hold a flow, or is gone.

        Nobody waits for the answer of an agent whose backend server is published no
        more: it may never come, and callers would wait until their time is over.
        Before the backend servers were listed, the agents that are known may be few of
        many, and their denials prove nothing.
        """
        if not agents or self.register.listed_at is None:
            return False
        unheard = agents - lookup.denied_by
        return all(self._is_ruled_out(host, now=now) for host in unheard)

    def _is_ruled_out(self, host: str, *, now: float) -> bool:
        """Whether no flow can be held at a host, whatever its agent would answer."""
        if self.members.has_departed(host):
            return True
        if self.register.is_host_removed(host, now=now):
            return True
        return self.members.holds_no_flows(host) and not self.register.is_published(
            host
        )

    def _possible_owners(self, lookup: Lookup) -> set[str]:
        """
        Return the agents whose backend servers may hold a flow.

        A flow stays where it is when its route moves to another service, so services
        that the route once led to count too, and in the end all agents.
        """
        hosts: set[str] = set()
        if not lookup.is_fleet_wide:
            for service in self.register.services_of(route_address(lookup.key)):
                agents = {r.host for r in self.register.backends_of(service)}
                agents.update(self.members.agents_of(service))
                hosts.update(
                    candidate_hosts(lookup.key, agents, count=LOOKUP_CANDIDATES)
                )
        if hosts:
            return hosts
        agents = {r.host for r in self.register.backends.values()}
        return agents | set(self.members.hosts(PeerRole.AGENT))
