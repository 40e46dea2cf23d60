"""The search for the owner of one flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


@attrs.define(kw_only=True, eq=False)
class Lookup:
    """
    A flow whose owner this balancer asks for.

    ``held`` are packets that wait for the answer, ``denied`` the agents that said
    that their backend server doesn't hold the flow, ``tries`` counts how often agents
    were asked, ``question`` is the packet that they were last asked with. Times are in
    trio's seconds.
    ``is_wide`` once agents beyond those that the flow was probably placed at are
    asked, ``is_closed`` once the caller was told that the flow is gone.
    """

    key: FlowKey
    started_at: float
    queried_at: float
    query: Packet | None = None
    buffered: list[Packet] = attrs.field(factory=list)
    queried: set[str] = attrs.field(factory=set)
    denied_by: set[str] = attrs.field(factory=set)
    attempts: int = 0
    is_fleet_wide: bool = False
    has_no_owner: bool = False
