"""A balancer's cache of the agents that own flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


@attrs.define(kw_only=True, eq=False)
class CachedFlow:
    """The agent of a flow; ``used_at`` is trio time in seconds."""

    agent: str
    used_at: float


class FlowCache:
    """Caches the owners of flows; a lookup at the agents recovers a lost entry."""

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.flows: dict[FlowKey, CachedFlow] = {}

    def put(self, key: FlowKey, agent: str, *, now: float) -> None:
        """Store the agent of a flow."""
        self.flows[key] = CachedFlow(agent=agent, used_at=now)

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
