"""The lookup of the owner of one flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.flows import are_far


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


@attrs.define(kw_only=True, eq=False)
class Lookup:
    """
    The state of the lookup of one flow's owner.

    A caller may use a port again, so that packets of two flows have the same ``key``;
    ``acknowledged``, the newest acknowledgement of its caller, tells them apart.

    ``query`` is the packet of the last query, ``attempts`` counts the rounds of
    queries, ``queried`` are the agents that were queried and ``denied_by`` those that
    replied that their backend server doesn't hold the flow. ``delegates`` are the
    agents that the lookup was delegated to, and ``delegations`` has, by the delegate
    that has not replied, the hosts that its negative result would cover.
    ``continuing`` are those that got a packet which a backend server answers, so that
    they repeat its queries, and ``progress_at`` is when each last reported progress.
    ``first_query_at`` is when this process first queried an agent, since the agent was
    last heard again, and ``named_at`` when it named one to a delegate. ``extra_hosts``
    are those that the requester of a delegated lookup named; ``is_restricted`` is set
    if no others are queried.

    ``awaited`` are the agents whose reply to a query of this process is outstanding,
    ``unknown_to`` those that replied that they have no entry of the flow, and
    ``checked`` those whose backend servers were asked after that. ``reported`` is the
    number of denials that the requester of a delegated lookup knows, ``reported_at``
    the time of the last report to it.
    ``buffered`` packets are sent once the owner is known. ``is_retried`` is set once
    queries of the current set of agents are sent again, ``is_fleet_wide`` when the
    lookup is extended from the flow's candidates to all agents, and ``has_no_owner``
    when it failed and the flow is reset. ``is_port_used`` is set once an agent replied
    that its backend server holds another flow of the port. Times are those of trio's
    clock, in seconds.
    """

    key: FlowKey
    acknowledged: int
    started_at: float
    queried_at: float
    query: Packet | None = None
    buffered: list[Packet] = attrs.field(factory=list)
    queried: set[str] = attrs.field(factory=set)
    denied_by: set[str] = attrs.field(factory=set)
    delegates: set[str] = attrs.field(factory=set)
    delegations: dict[str, frozenset[str]] = attrs.field(factory=dict)
    continuing: set[str] = attrs.field(factory=set)
    progress_at: dict[str, float] = attrs.field(factory=dict)
    first_query_at: dict[str, float] = attrs.field(factory=dict)
    named_at: dict[str, float] = attrs.field(factory=dict)
    extra_hosts: frozenset[str] = frozenset()
    is_restricted: bool = False
    awaited: set[str] = attrs.field(factory=set)
    unknown_to: set[str] = attrs.field(factory=set)
    checked: set[str] = attrs.field(factory=set)
    reported: int = 0
    reported_at: float = float("-inf")
    attempts: int = 0
    is_retried: bool = False
    is_fleet_wide: bool = False
    has_no_owner: bool = False
    is_port_used: bool = False

    def is_of(self, packet: Packet) -> bool:
        """Whether a caller's packet is of this flow, not another of the port."""
        return not are_far(packet.acknowledged, self.acknowledged)

    def find_covered(self, *, since: float) -> set[str]:
        """Return the hosts that delegates are querying, by their reports since."""
        covered: set[str] = set()
        for delegate, hosts in self.delegations.items():
            has_reported = self.progress_at.get(delegate, since) > since
            if has_reported and delegate in self.continuing:
                covered |= hosts
        return covered
