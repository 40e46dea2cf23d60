"""The agents that may own the flow of a lookup."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.flows import LOOKUP_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.flows import route_address
from oleanderweir.peering.members import AGENT_RESTART_S
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.report_interval import silence_s


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.lookups.lookup import Lookup
    from oleanderweir.peering import Members


# How long a query waits for a live agent whose backend server isn't published. A
# running one replies at once.
UNPUBLISHED_REPLY_TIMEOUT_S = 1.0
# Age up to which a report counts that an agent holds no flows. Agents report with each
# heartbeat, every two seconds.
FRESH_REPORT_S = 2.5


class PossibleOwners:
    """
    Determines which agents may own a flow, and which of them are ruled out.

    Both depend on the published backend servers, on the members that this process
    knows, and on the replies recorded in the lookup. With ``awaits_discovery``, denials
    aren't conclusive while hosts that peers listed have not replied yet. An agent is a
    possible owner itself: ``own_agents`` has its host, and is empty in a balancer.
    """

    def __init__(
        self,
        *,
        register: StateRegister,
        members: Members,
        awaits_discovery: bool,
        own_agents: frozenset[str],
    ) -> None:
        self.register = register
        self.members = members
        self.awaits_discovery = awaits_discovery
        self.own_agents = own_agents

    def find(self, lookup: Lookup) -> set[str]:
        """
        Return the agents whose backend servers may hold a flow.

        A flow stays on its backend server when its route moves to another service, so
        former services of the route are included. A fleet-wide lookup, or one without
        candidates, includes all agents.
        """
        if lookup.is_restricted:
            return set(lookup.extra_hosts)
        hosts = set(lookup.extra_hosts)
        if not lookup.is_fleet_wide:
            for service in self.register.services_of(route_address(lookup.key)):
                agents = {r.host for r in self.register.backends_of(service)}
                agents.update(self.members.agents_of(service))
                if agents:
                    agents |= self.own_agents - self.register.find_published_hosts()
                hosts.update(
                    candidate_hosts(lookup.key, agents, count=LOOKUP_CANDIDATES)
                )
        if hosts - lookup.extra_hosts:
            return hosts
        hosts.update(self.members.hosts(PeerRole.AGENT))
        hosts |= self.register.find_published_hosts()
        if self.register.listed_at is None:
            # An agent that has just started may know no other one yet.
            return hosts
        return hosts | self.own_agents

    def find_pending(self, lookup: Lookup, *, now: float) -> set[str]:
        """Return the agents that have not denied holding a flow, nor are ruled out."""
        return {
            host
            for host in self.find(lookup) - lookup.denied_by
            if not self.is_ruled_out(lookup, host, now=now)
        }

    def is_denied_by_all(self, lookup: Lookup, agents: set[str], *, now: float) -> bool:
        """
        Whether each of these agents denied holding a flow or is ruled out.

        Agents that departed, and silent ones whose backend servers are no longer
        published, are not waited for: they may never reply, and callers would wait
        until their timeout.
        """
        if not agents or not self.are_denials_conclusive(lookup):
            return False
        pending = agents - lookup.denied_by
        return all(self.is_ruled_out(lookup, host, now=now) for host in pending)

    def are_denials_conclusive(self, lookup: Lookup) -> bool:
        """
        Whether the denials of the known agents are conclusive.

        Until the backend servers have been listed, and while this process discovers
        members, the known agents may be a small part of the fleet.
        """
        if lookup.is_restricted:
            return True
        if self.register.listed_at is None:
            return False
        return not (self.awaits_discovery and self.members.is_discovering())

    def is_ruled_out(self, lookup: Lookup, host: str, *, now: float) -> bool:
        """
        Whether a host cannot hold the flow of a lookup, so that no reply is needed.

        An entry may be missing because it lapsed or hasn't arrived yet: a live agent
        has to reply itself. The requester of a delegated lookup may know more of the
        hosts that it named, and has its own time limit for them. The agent of this
        process replies to itself. What an agent reported earlier doesn't count for a
        backend server that was published since.
        """
        if host in lookup.extra_hosts or host in self.own_agents:
            return False
        departed_at = self.members.departed_at(host)
        if departed_at is not None:
            return not self.register.has_started_since(host, departed_at)
        if self.register.is_published(host):
            return False
        reported_at = self.members.no_flows_reported_at(host)
        if self._is_awaited(lookup, host, now=now):
            fresh_since = lookup.started_at - FRESH_REPORT_S
            return reported_at is not None and reported_at >= fresh_since
        if self._is_removed(host, now=now):
            return not self._may_be_restarting(lookup, host, now=now)
        return reported_at is not None and not self.register.was_removed_since(
            host, reported_at
        )

    def _may_be_restarting(self, lookup: Lookup, host: str, *, now: float) -> bool:
        """Whether an agent was heard shortly before it was queried, and not since."""
        queried_at = lookup.first_query_at.get(host, lookup.started_at)
        if self.members.was_heard_since(host, queried_at):
            return False
        return self.members.was_heard_within(host, AGENT_RESTART_S, now=now)

    def _is_removed(self, host: str, *, now: float) -> bool:
        """Whether a host counts as removed, not counting pauses of this process."""
        pauses = self.members.pauses
        limit = pauses.moment_before(now, ran_for_s=REMOVAL_GRACE_S)
        return self.register.is_host_removed(host, now=limit + REMOVAL_GRACE_S)

    def _is_awaited(self, lookup: Lookup, host: str, *, now: float) -> bool:
        """
        Whether to await the reply of a live agent that has no published entry.

        One that has replied that it has no entry of the flow awaits its backend server,
        which may be slow.
        """
        limit = self.members.pauses.moment_before(
            now, ran_for_s=UNPUBLISHED_REPLY_TIMEOUT_S
        )
        queried_at = lookup.first_query_at.get(host, now)
        # A query from before a restart of the agent was lost.
        was_received = queried_at >= self.members.reappeared_at(host)
        is_overdue = was_received and queried_at <= limit
        if is_overdue and host not in lookup.unknown_to:
            return False
        # Agents report by the size of the fleet that they know: with missing entries,
        # the published part of it is smaller.
        fleet_size = max(len(self.register.backends), len(self.members.members))
        return self.members.was_heard_within(host, silence_s(fleet_size), now=now)
