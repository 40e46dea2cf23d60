"""Looks up the agent whose backend server holds a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.lookups.found_owner import FoundOwner
from oleanderweir.lookups.lookup_table import LookupTable
from oleanderweir.lookups.possible_owners import PossibleOwners
from oleanderweir.lookups.query_sender import QuerySender
from oleanderweir.peering.messages import DeliveryPurpose


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.lookups.lookup import Lookup
    from oleanderweir.lookups.lookup_transport import LookupTransport
    from oleanderweir.peering import Members


# Attempts before a lookup queries all agents: a candidate that is down but still
# published never replies with a denial.
TARGETED_ATTEMPTS = 3
# The same for a lookup whose delegate continues, so that no attempts are counted.
TARGETED_S = 0.7
# Rounds of queries of a delegate to agents that a balancer named; the balancer then has
# those that have not denied queried by another one.
MAX_RESTRICTED_ATTEMPTS = 3
# The check takes time for each agent of each lookup; after a loss of power, these are
# many.
UNASKED_CHECK_INTERVAL_S = 0.2
# A delegate that reported progress within this time continues its lookup. It reports
# every ``PROGRESS_INTERVAL_S``; two reports may be lost or late.
DELEGATE_TIMEOUT_S = 0.5


class OwnerLookup:
    """
    Queries agents for the owners of flows that are missing from the flow cache.

    The candidates of the flow's rendezvous ranking are queried before all other
    agents, since the flow was probably placed on one of them. Agents first reply from
    their flow tables; only if none has an entry, their backend servers are asked. A
    flow is reset only after all agents have denied holding it or are ruled out.
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
        # An agent's denial on behalf of a balancer covers only the agents it knows.
        self.owners = PossibleOwners(
            register=register,
            members=members,
            awaits_discovery=use_delegate,
            own_agents=frozenset(() if use_delegate else (members.own_host,)),
        )
        self.members = members
        self.transport = transport
        self.sender = QuerySender(
            register=register,
            members=members,
            transport=transport,
            use_delegate=use_delegate,
        )
        self.lookups = LookupTable()
        # When this process last checked for agents that missed queries.
        self.unasked_checked_at = float("-inf")

    def is_in_progress(self, key: FlowKey) -> bool:
        """Whether the owner of a flow is being looked up."""
        return key in self.lookups.lookups

    def discard_failed(self, key: FlowKey) -> None:
        """Discard a failed lookup: the caller opens another flow with its port."""
        lookup = self.lookups.lookups.get(key)
        if lookup is not None and lookup.has_no_owner:
            self.lookups.close(key)

    def look_up(
        self, packet: Packet, *, now: float, hosts: tuple[str, ...] = ()
    ) -> None:
        """
        Query agents for the owner of a packet's flow, or buffer the packet.

        With ``hosts``, a new lookup is restricted to these agents.
        """
        if packet.is_reset:
            return
        self.members.pauses.record_run(now)
        failed = self.lookups.find(packet)
        if failed is not None and self._has_quietly_failed(failed):
            self.lookups.close(packet.key)
        is_new = self.lookups.find(packet) is None
        lookup = self.lookups.open(packet, now=now)
        if lookup is None:
            return
        lookup.extra_hosts |= frozenset(hosts)
        lookup.is_restricted = bool(hosts) and (is_new or lookup.is_restricted)
        if lookup.has_no_owner:
            self.transport.on_no_owner(packet)
            return
        agents = self.owners.find(lookup)
        is_due = self.lookups.is_due(lookup, now=now)
        if not agents or not is_due or self._is_covered(lookup, agents, now=now):
            self.lookups.buffer(lookup, packet)
        elif self.owners.is_denied_by_all(lookup, agents, now=now):
            # The agents that have not replied are ruled out as owners.
            self._widen_or_fail(lookup, packet, now=now)
        else:
            agents -= self._find_covered(lookup, now=now)
            self.sender.start_round(lookup, packet, agents, now=now)

    def on_owner(self, host: str, key: FlowKey, *, now: float) -> None:
        """Complete the lookup of a flow; send the buffered packets to its owner."""
        self.transport.on_owner_found(key, host)
        lookup = self.lookups.close(key)
        if lookup is None:
            return
        for packet in lookup.buffered:
            self.transport.deliver(host, packet, DeliveryPurpose.CONTINUE)
        if lookup.attempts > 1:
            self._notify_delegates(lookup, host)
        self._repeat_to_owner(lookup, host, now=now)
        self.transport.log(
            "flow_found",
            key,
            agent=host,
            held=len(lookup.buffered),
            took_ms=round((now - lookup.started_at) * 1000, 1),
        )

    def _repeat_to_owner(self, lookup: Lookup, host: str, *, now: float) -> None:
        """
        Send the owner the query again, and once more after the last late denial.

        Otherwise other backend servers would be the last to get a packet of an idle
        flow, and the first at its next lookup. Some never reply to the query.
        """
        others = lookup.checked - {host}
        outstanding = others - lookup.denied_by
        if lookup.query is None or not others:
            return
        self.transport.deliver(host, lookup.query, DeliveryPurpose.CONTINUE)
        if not outstanding:
            return
        self.lookups.found[lookup.key] = FoundOwner(
            host=host, query=lookup.query, outstanding=outstanding, found_at=now
        )

    def _notify_delegates(self, lookup: Lookup, host: str) -> None:
        """Have delegates stop asking: another one, or this process, found the owner."""
        for delegate in sorted(lookup.delegates):
            self.transport.notify_delegate(delegate, lookup.key, host)

    def on_denial(
        self, host: str, packet: Packet, *, now: float, is_port_used: bool = False
    ) -> None:
        """Record an agent's denial; widen or fail the lookup after the last one."""
        if self._is_of_another_flow(packet):
            return
        lookup = self.lookups.open(packet, now=now)
        if lookup is None or lookup.has_no_owner:
            return
        lookup.is_port_used |= is_port_used
        lookup.denied_by.add(host)
        lookup.awaited.discard(host)
        if not lookup.queried:
            self.look_up(packet, now=now)
        else:
            self._continue(lookup, packet, now=now)

    def _is_of_another_flow(self, packet: Packet) -> bool:
        """Whether the lookup in progress is of another flow of the packet's port."""
        return self.is_in_progress(packet.key) and self.lookups.find(packet) is None

    def on_late_denial(self, host: str, key: FlowKey) -> None:
        """Send the owner the query again, after the last other agent denied."""
        found = self.lookups.found.get(key)
        if found is None or host not in found.outstanding:
            return
        found.outstanding.discard(host)
        if not found.outstanding:
            del self.lookups.found[key]
            self.transport.deliver(found.host, found.query, DeliveryPurpose.CONTINUE)

    def on_unknown(self, host: str, packet: Packet, *, now: float) -> None:
        """Record that an agent has no entry; its backend server may hold the flow."""
        lookup = self.lookups.find(packet)
        if lookup is None or lookup.has_no_owner:
            return
        lookup.unknown_to.add(host)
        if host not in lookup.checked:
            lookup.awaited.discard(host)
        self._continue(lookup, packet, now=now)

    def on_progress(
        self,
        host: str,
        packet: Packet,
        hosts: tuple[str, ...],
        *,
        now: float,
        is_port_used: bool = False,
    ) -> None:
        """Record that a delegate continues its lookup, and the denials it has got."""
        lookup = self.lookups.find(packet)
        if lookup is not None and host in lookup.delegates:
            lookup.is_port_used |= is_port_used
            lookup.denied_by.update(hosts)
            lookup.progress_at[host] = now

    def on_no_owner(
        self,
        host: str,
        packet: Packet,
        *,
        now: float,
        hosts: tuple[str, ...] = (),
        is_port_used: bool = False,
    ) -> None:
        """
        Process the negative result of a delegate; query the agents it may not know.

        ``hosts`` are the agents that denied, all that were published if there are none:
        an agent knows those of published backend servers and few others. A backend
        server may hold flows although its entry lapsed, or was published later. The
        result of an earlier lookup is ignored: it doesn't cover what was published
        when this one was delegated.
        """
        lookup = self.lookups.find(packet)
        if lookup is None or lookup.has_no_owner or host not in lookup.delegations:
            return
        lookup.is_fleet_wide = True
        lookup.is_port_used |= is_port_used
        covered = lookup.delegations.pop(host)
        lookup.denied_by |= frozenset(hosts) or covered
        pending = self.owners.find_pending(lookup, now=now)
        unqueried = pending - lookup.first_query_at.keys() - lookup.named_at.keys()
        if unqueried:
            self.sender.start_round(lookup, packet, unqueried, now=now)
        elif not pending and self.owners.are_denials_conclusive(lookup):
            self._fail(lookup, packet)

    def query_deferred(self, *, now: float) -> None:
        """Send the queries of lookups that started before any agent was known."""
        for lookup in self.lookups.deferred():
            agents = self.owners.find(lookup)
            if agents:
                self.sender.start_round(lookup, lookup.buffered.pop(0), agents, now=now)

    def retry(self, *, now: float) -> None:
        """Send the queries of unanswered lookups again when they are due."""
        self.members.pauses.record_run(now)
        self._query_unasked(now=now)
        for lookup in self.lookups.due_for_retry(now=now):
            if self.is_exhausted(lookup):
                continue
            lookup.is_fleet_wide |= (
                lookup.attempts >= TARGETED_ATTEMPTS
                or now - lookup.started_at >= TARGETED_S
            )
            agents = self.owners.find(lookup)
            if lookup.query is None:
                continue
            if self.owners.is_denied_by_all(lookup, agents, now=now):
                self._widen_or_fail(lookup, lookup.query, now=now)
            elif not self._is_covered(lookup, agents, now=now):
                lookup.is_retried = True
                agents -= self._find_covered(lookup, now=now)
                if not self.sender.use_delegate:
                    # The balancer has these asked again by its next delegate.
                    agents -= lookup.checked
                self.sender.start_round(lookup, lookup.query, agents, now=now)

    def is_exhausted(self, lookup: Lookup) -> bool:
        """Whether the queries of a delegated lookup aren't repeated any more."""
        return lookup.is_restricted and lookup.attempts >= MAX_RESTRICTED_ATTEMPTS

    def _query_unasked(self, *, now: float) -> None:
        """Query the agents that missed the queries of their lookups."""
        if now - self.unasked_checked_at < UNASKED_CHECK_INTERVAL_S:
            return
        self.unasked_checked_at = now
        for lookup in self.lookups.repeated():
            if lookup.query is not None:
                self.sender.query_unasked(lookup, lookup.query, now=now)

    def expire(self, *, now: float) -> None:
        """Remove lookups that timed out and log the unanswered ones."""
        for lookup in self.lookups.expire(now=now):
            if not lookup.has_no_owner:
                self.transport.log(
                    "lookup_unanswered",
                    lookup.key,
                    asked=sorted(lookup.queried - lookup.denied_by),
                )

    def _find_covered(self, lookup: Lookup, *, now: float) -> set[str]:
        """
        Return the hosts that need no query, as a delegate is querying them.

        Another delegate would repeat each query of one that continues, for example
        while it awaits backend servers that start.
        """
        return lookup.find_covered(since=now - DELEGATE_TIMEOUT_S)

    def _is_covered(self, lookup: Lookup, agents: set[str], *, now: float) -> bool:
        """Whether delegates are querying all agents that have not denied yet."""
        covered = self._find_covered(lookup, now=now)
        return bool(covered) and agents <= covered | lookup.denied_by

    def _continue(self, lookup: Lookup, packet: Packet, *, now: float) -> None:
        """
        Have backend servers asked, or fail, once no further reply is awaited.

        Before a retry, backend servers are asked only after all queried agents have
        replied: the packet reaches no other one if the agent of the owner has an entry.
        A process that has just started may not know that agent yet.
        """
        is_awaiting = not self.owners.are_denials_conclusive(lookup)
        is_awaiting |= self._awaits_replies(lookup, now=now)
        if is_awaiting and not lookup.is_retried:
            return
        unchecked = lookup.unknown_to - lookup.checked - lookup.denied_by
        if unchecked:
            # A backend server answers a later packet rather than an acknowledgement.
            self.sender.query(lookup, lookup.query or packet, unchecked, now=now)
        elif not is_awaiting and self.owners.is_denied_by_all(
            lookup, self.owners.find(lookup), now=now
        ):
            self._widen_or_fail(lookup, packet, now=now)

    def _awaits_replies(self, lookup: Lookup, *, now: float) -> bool:
        """Whether a queried agent that isn't ruled out has not replied yet."""
        return any(
            not self.owners.is_ruled_out(lookup, host, now=now)
            for host in lookup.awaited
        )

    def _widen_or_fail(self, lookup: Lookup, packet: Packet, *, now: float) -> None:
        """Query all agents; fail the lookup if all of them have denied."""
        if not lookup.is_fleet_wide:
            lookup.is_fleet_wide = True
            others = self.owners.find(lookup)
            if not self.owners.is_denied_by_all(lookup, others, now=now):
                lookup.is_retried = False
                self.sender.start_round(lookup, packet, others, now=now)
                return
        if not packet.is_retransmitted and not lookup.buffered:
            # The caller expects no answer to an acknowledgement, and its next packet
            # starts a new lookup. Most of them belong to flows that have just closed.
            self.lookups.close(lookup.key)
            return
        self._fail(lookup, packet)

    def _fail(self, lookup: Lookup, packet: Packet) -> None:
        """
        End a lookup without an owner.

        A balancer sends no reset to a port that another flow uses: it may be the later
        one, and the packet a late one of an ended flow. The lookup is kept, so that
        further denials start no other one; the caller's next packet does.
        """
        lookup.has_no_owner = True
        if self._has_quietly_failed(lookup):
            self.transport.log("reset_omitted", lookup.key)
        else:
            self.transport.on_no_owner(packet)

    def _has_quietly_failed(self, lookup: Lookup) -> bool:
        """Whether a lookup failed that leads to no reset."""
        return lookup.has_no_owner and lookup.is_port_used and self.sender.use_delegate
