"""A balancer's cache of the agents that own flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


@attrs.define(kw_only=True, eq=False)
class CachedFlow:
    """
    The agent of a flow; ``stored_at`` and ``used_at`` are trio time in seconds.

    ``is_open`` is set once the caller has acknowledged the opening, or an agent has
    claimed the flow.
    """

    agent: str
    stored_at: float
    used_at: float
    is_open: bool = False


class FlowCache:
    """Caches the owners of flows; a lookup at the agents recovers a lost entry."""

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.flows: dict[FlowKey, CachedFlow] = {}

    def put(self, key: FlowKey, agent: str, *, now: float, is_open: bool) -> None:
        """Store the agent of a flow."""
        self.flows[key] = CachedFlow(
            agent=agent, stored_at=now, used_at=now, is_open=is_open
        )

    def is_open(self, key: FlowKey) -> bool:
        """Whether a flow is cached as open."""
        flow = self.flows.get(key)
        return flow is not None and flow.is_open

    def get(self, key: FlowKey, *, now: float) -> CachedFlow | None:
        """Return the entry of a flow and restart its idle time."""
        flow = self.flows.get(key)
        if flow is not None:
            flow.used_at = now
        return flow

    def discard(self, key: FlowKey) -> None:
        """Remove the entry of a flow."""
        self.flows.pop(key, None)

    def expire(self, *, now: float) -> None:
        """Remove the entries that were not used for ``idle_timeout_s`` seconds."""
        limit = now - self.idle_timeout_s
        for key in [k for k, flow in self.flows.items() if flow.used_at < limit]:
            del self.flows[key]
