"""Which agent each flow goes to, as far as this balancer learned it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


@attrs.define(kw_only=True, eq=False)
class CachedFlow:
    """The agent of a flow; ``used_at`` is in trio's seconds."""

    agent: str
    used_at: float


class FlowCache:
    """A cache: the agents are the authority, and a lost entry can be found again."""

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.flows: dict[FlowKey, CachedFlow] = {}

    def put(self, key: FlowKey, agent: str, *, now: float) -> None:
        """Note the agent of a flow."""
        self.flows[key] = CachedFlow(agent=agent, used_at=now)

    def get(self, key: FlowKey, *, now: float) -> CachedFlow | None:
        """Return the entry of a flow, and keep it from expiring."""
        flow = self.flows.get(key)
        if flow is not None:
            flow.used_at = now
        return flow

    def discard(self, key: FlowKey) -> None:
        """Drop the entry of a flow."""
        self.flows.pop(key, None)

    def expire(self, *, now: float) -> None:
        """Drop what was not used for ``idle_timeout_s``."""
        limit = now - self.idle_timeout_s
        for key in [k for k, flow in self.flows.items() if flow.used_at < limit]:
            del self.flows[key]
