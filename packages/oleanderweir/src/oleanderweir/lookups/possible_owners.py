"""The agents that may own the flow of a lookup."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.flows import LOOKUP_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.flows import route_address
from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.lookups.lookup import Lookup
    from oleanderweir.peering import Members


class PossibleOwners:
    """
    Determines which agents may own a flow, and which of them are ruled out.

    Both depend on the published backend servers, on the members that this process
    knows, and on the replies recorded in the lookup.
    """

    def __init__(self, *, register: StateRegister, members: Members) -> None:
        self.register = register
        self.members = members

    def find(self, lookup: Lookup) -> set[str]:
        """
        Return the agents whose backend servers may hold a flow.

        A flow stays on its backend server when its route moves to another service, so
        former services of the route are included. A fleet-wide lookup, or one without
        candidates, includes all agents.
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
        agents = set(self.members.hosts(PeerRole.AGENT))
        return agents | self.register.find_published_hosts()

    def find_pending(self, lookup: Lookup, *, now: float) -> set[str]:
        """Return the agents that have not denied holding a flow, nor are ruled out."""
        return {
            host
            for host in self.find(lookup) - lookup.denied_by
            if not self.is_ruled_out(host, now=now)
        }

    def is_denied_by_all(self, lookup: Lookup, agents: set[str], *, now: float) -> bool:
        """
        Whether each of these agents denied holding a flow or is ruled out.

        Agents that departed or whose backend servers are no longer published are not
        waited for: they may never reply, and callers would wait until their timeout.
        Until the backend servers have been listed, the known agents may be a small part
        of the fleet, so their denials are not conclusive.
        """
        if not agents or self.register.listed_at is None:
            return False
        pending = agents - lookup.denied_by
        return all(self.is_ruled_out(host, now=now) for host in pending)

    def is_ruled_out(self, host: str, *, now: float) -> bool:
        """
        Whether a host cannot hold any flow, so that no reply is needed.

        What an agent reported earlier doesn't count for a backend server that was
        published since.
        """
        departed_at = self.members.departed_at(host)
        if departed_at is not None:
            return not self.register.has_started_since(host, departed_at)
        if self.register.is_published(host):
            return False
        if self.register.is_host_removed(host, now=now):
            return True
        reported_at = self.members.no_flows_reported_at(host)
        return reported_at is not None and not self.register.was_removed_since(
            host, reported_at
        )
