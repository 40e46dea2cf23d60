"""Finds out which agent's backend server holds a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.flows import ASKED_FIRST
from oleanderweir.flows import candidate_hosts
from oleanderweir.flows import route_address
from oleanderweir.lookups.lookup_table import LookupTable
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.lookups.finder_links import FinderLinks
    from oleanderweir.lookups.lookup import Lookup
    from oleanderweir.peering import Members


# Agents that a balancer asks by itself. Each question carries the caller's packet, and
# the link of a small balancer would be full of them after a loss of all processes.
MAX_DIRECT_QUESTIONS = 3
# After so many unanswered questions all agents are asked: one that is gone, but still
# published, would never deny.
TRIES_BEFORE_ALL = 3


class OwnerFinder:
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
        links: FinderLinks,
        delegates: bool,
    ) -> None:
        self.register = register
        self.members = members
        self.links = links
        self.delegates = delegates
        self.lookups = LookupTable()

    def find(self, packet: Packet, *, now: float) -> None:
        """Ask for the owner of a packet's flow, or let the packet wait for it."""
        if packet.is_reset:
            return
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is None:
            return
        if lookup.is_closed:
            self.links.note_held_nowhere(packet)
            return
        agents = self._possible_owners(lookup)
        if not agents or not self.lookups.is_due(lookup, now=now):
            self.lookups.hold(lookup, packet)
        elif self._is_denied(lookup, agents, now=now):
            # Whoever did not answer is published no more.
            self._widen_or_close(lookup, packet, now=now)
        else:
            self._ask(lookup, packet, agents, now=now)

    def note_owner(self, host: str, key: FlowKey, *, now: float) -> None:
        """Send what waited for the owner of a flow."""
        self.links.note_found(key, host)
        lookup = self.lookups.close(key)
        if lookup is None:
            return
        for packet in lookup.held:
            self.links.deliver(host, packet, DeliveryPurpose.CONTINUE)
        self.links.log(
            "flow_found",
            key,
            agent=host,
            held=len(lookup.held),
            took_ms=round((now - lookup.started_at) * 1000, 1),
        )

    def note_denial(self, host: str, packet: Packet, *, now: float) -> None:
        """Reset a flow that every possible owner denied to hold."""
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is None or lookup.is_closed:
            return
        lookup.denied.add(host)
        if not lookup.asked:
            self.find(packet, now=now)
        elif self._is_denied(lookup, self._possible_owners(lookup), now=now):
            self._widen_or_close(lookup, packet, now=now)

    def note_held_nowhere(self, packet: Packet, *, now: float) -> None:
        """Take it from the agent that searched that nobody holds a flow."""
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is not None and not lookup.is_closed:
            lookup.is_closed = True
            self.links.note_held_nowhere(packet)

    def ask_for_held(self, *, now: float) -> None:
        """Ask for flows whose packets came before any agent was known."""
        for lookup in self.lookups.never_asked():
            agents = self._possible_owners(lookup)
            if agents:
                self._ask(lookup, lookup.held.pop(0), agents, now=now)

    def repeat(self, *, now: float) -> None:
        """Ask again for flows that not all agents answered for."""
        for lookup in self.lookups.unanswered(now=now):
            lookup.is_wide = lookup.is_wide or lookup.tries >= TRIES_BEFORE_ALL
            agents = self._possible_owners(lookup)
            if lookup.question is None:
                continue
            if self._is_denied(lookup, agents, now=now):
                self._widen_or_close(lookup, lookup.question, now=now)
            else:
                self._ask(lookup, lookup.question, agents, now=now)

    def expire(self, *, now: float) -> None:
        """End searches that nobody answered."""
        for lookup in self.lookups.expire(now=now):
            if not lookup.is_closed:
                self.links.log(
                    "lookup_unanswered",
                    lookup.key,
                    asked=sorted(lookup.asked - lookup.denied),
                )

    def _ask(
        self, lookup: Lookup, packet: Packet, agents: set[str], *, now: float
    ) -> None:
        """Send a packet to the agents whose backend servers may hold its flow."""
        lookup.asked_at = now
        lookup.tries += 1
        lookup.question = packet
        lookup.asked |= agents
        if self.delegates and len(agents - lookup.denied) > MAX_DIRECT_QUESTIONS:
            delegate = self._choose_delegate(lookup, agents)
            self.links.deliver(delegate, packet, DeliveryPurpose.DELEGATED_LOOKUP)
            self.links.log("flow_lookup", packet.key, asked=1, delegate=delegate)
            return
        for host in sorted(agents - lookup.denied):
            self.links.deliver(host, packet, DeliveryPurpose.QUERY)
        self.links.log("flow_lookup", packet.key, asked=len(agents))

    def _choose_delegate(self, lookup: Lookup, agents: set[str]) -> str:
        """Return the agent that asks the others, the next one at each try."""
        ranked = candidate_hosts(lookup.key, agents, count=lookup.tries)
        return ranked[-1]

    def _widen_or_close(self, lookup: Lookup, packet: Packet, *, now: float) -> None:
        """Ask all agents; reset the flow if all of them denied."""
        if not packet.payload_bytes and not lookup.held:
            # Nobody waits for an answer to it, and the caller's next payload is asked
            # for anew; most such packets belong to flows that just ended.
            self.lookups.close(lookup.key)
            return
        if not lookup.is_wide:
            lookup.is_wide = True
            others = self._possible_owners(lookup)
            if not self._is_denied(lookup, others, now=now):
                self._ask(lookup, packet, others, now=now)
                return
        lookup.is_closed = True
        self.links.note_held_nowhere(packet)

    def _is_denied(self, lookup: Lookup, agents: set[str], *, now: float) -> bool:
        """
        Whether every one of these agents denied to hold a flow, or is gone.

        Nobody waits for the answer of an agent whose backend server is published no
        more: it may never come, and callers would wait until their time is over.
        Before the backend servers were listed, the agents that are known may be few of
        many, and their denials prove nothing.
        """
        if not agents or self.register.listed_at is None:
            return False
        unheard = agents - lookup.denied
        return all(self._is_out(host, now=now) for host in unheard)

    def _is_out(self, host: str, *, now: float) -> bool:
        """Whether no flow can be held at a host, whatever its agent would answer."""
        if self.members.has_departed(host):
            return True
        if self.register.is_host_gone(host, now=now):
            return True
        return self.members.holds_nothing(host) and not self.register.is_published(host)

    def _possible_owners(self, lookup: Lookup) -> set[str]:
        """
        Return the agents whose backend servers may hold a flow.

        A flow stays where it is when its route moves to another service, so services
        that the route once led to count too, and in the end all agents.
        """
        hosts: set[str] = set()
        if not lookup.is_wide:
            for service in self.register.services_of(route_address(lookup.key)):
                agents = {r.host for r in self.register.backends_of(service)}
                agents.update(self.members.agents_of(service))
                hosts.update(candidate_hosts(lookup.key, agents, count=ASKED_FIRST))
        if hosts:
            return hosts
        agents = {r.host for r in self.register.backends.values()}
        return agents | set(self.members.hosts(PeerRole.AGENT))
