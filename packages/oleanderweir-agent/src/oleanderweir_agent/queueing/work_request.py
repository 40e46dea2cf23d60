"""What admission needs to know of a request."""

from __future__ import annotations

import math

import attrs

from oleanderweir_agent.queueing.route import Route


@attrs.frozen(kw_only=True)
class WorkRequest:
    """
    A request that asks for a slot.

    ``deadline`` is a trio time; ``is_relayed`` tells a request that a peer agent has
    offered, which must not be passed on again. ``ignores_health`` is set when most of
    the service group looks dead, so that the evidence is not believed. A request
    that would wait longer than ``max_wait_s`` is refused, so that it can be tried
    elsewhere; one that has waited for ``patience_s`` comes back for the same reason.
    ``arrived_at`` keeps the place of a request that was let into this queue before.
    """

    method: str
    path: str
    deadline: float
    is_relayed: bool = False
    ignores_health: bool = False
    max_wait_s: float = math.inf
    patience_s: float = math.inf
    arrived_at: float | None = None

    @property
    def route(self) -> Route:
        """The route under which its service time is learnt."""
        return Route.of(method=self.method, path=self.path)
