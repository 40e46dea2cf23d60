"""The lookup of the owner of one flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


@attrs.define(kw_only=True, eq=False)
class Lookup:
    """
    The state of the lookup of one flow's owner.

    Times are those of trio's clock, in seconds.

    Progress: ``query`` is the packet of the last query, ``queried_at`` its time and
    ``attempts`` the number of rounds of queries. ``buffered`` packets are sent once the
    owner is known. ``is_fleet_wide`` is set when the lookup is extended from the flow's
    candidates to all agents, ``has_no_owner`` when it failed and the flow is reset.

    Agents: ``queried`` are those that were queried, through a delegate or directly;
    ``first_query_at`` is when each was first queried directly. ``denied_by`` are those
    that replied that their backend server doesn't hold the flow, ``unknown_to`` those
    that replied that they have no entry of it, and ``checked`` those whose backend
    servers were asked after that.

    Delegation: ``delegates`` are the agents that the lookup was delegated to.
    ``delegated_hosts`` are the hosts that had a published backend server each time,
    ``None`` if it wasn't delegated. ``unlisted`` are the last agents that were queried
    because delegates may not know them.
    """

    key: FlowKey
    started_at: float
    queried_at: float
    query: Packet | None = None
    attempts: int = 0
    buffered: list[Packet] = attrs.field(factory=list)
    is_fleet_wide: bool = False
    has_no_owner: bool = False

    queried: set[str] = attrs.field(factory=set)
    first_query_at: dict[str, float] = attrs.field(factory=dict)
    denied_by: set[str] = attrs.field(factory=set)
    unknown_to: set[str] = attrs.field(factory=set)
    checked: set[str] = attrs.field(factory=set)

    delegates: set[str] = attrs.field(factory=set)
    delegated_hosts: frozenset[str] | None = None
    unlisted: set[str] = attrs.field(factory=set)
