"""The properties of a request that decide on its admission."""

from __future__ import annotations

import math

import attrs

from oleanderweir_agent.queueing.route import Route


@attrs.frozen(kw_only=True)
class WorkRequest:
    """
    A request for a slot of the backend server.

    ``deadline`` is a trio time. ``is_relayed`` marks a request offered by a peer
    agent, which is not relayed again. ``ignores_health`` is set when most of the
    service group appears down, in which case health is disregarded. A request whose
    expected wait exceeds ``max_wait_s`` is rejected on arrival, and one that has been
    queued for ``queue_timeout_s`` is rejected then, so that it can be tried elsewhere.
    ``arrived_at`` is set only if this queue accepted the request before: the trio time
    of its first arrival, so that it keeps its position.
    """

    method: str
    path: str
    deadline: float
    is_relayed: bool = False
    ignores_health: bool = False
    max_wait_s: float = math.inf
    queue_timeout_s: float = math.inf
    arrived_at: float | None = None

    @property
    def route(self) -> Route:
        """The route under which the service time is recorded."""
        return Route.of(method=self.method, path=self.path)
