"""A balancer's cache of the agents that own flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey

# How long the owner of a flow is cached after its caller's final packet: less than
# agents keep closed flows, so that they still know which flow of a port a packet is of.
CLOSED_BY_CALLER_TTL_S = 4.0


@attrs.define(kw_only=True, eq=False)
class CachedFlow:
    """
    The agent of a flow; ``stored_at`` and ``used_at`` are trio time in seconds.

    ``is_open`` is set once the caller has acknowledged the opening, or an agent has
    claimed the flow, ``is_closed_by_caller`` once the caller has sent a final packet.
    ``is_unconfirmed`` tells that an earlier copy of the opening packet may have opened
    the flow at another agent. ``second_agent`` is set while the flow is hedged and
    either agent may own it, ``rejected_agent`` once the other one is known to own it.
    ``is_timed`` tells that the time of its opening counts for the hedge delay.
    """

    agent: str
    stored_at: float
    used_at: float
    is_open: bool = False
    is_closed_by_caller: bool = False
    is_unconfirmed: bool = False
    second_agent: str = ""
    rejected_agent: str = ""
    is_timed: bool = False

    @property
    def latest_agent(self) -> str:
        """The agent that was sent the opening packet last."""
        return self.second_agent or self.agent

    def may_own(self, host: str) -> bool:
        """Whether the flow is hedged and ``host`` is one of its two agents."""
        return bool(self.second_agent) and host in (self.agent, self.second_agent)

    def other_agent(self, host: str) -> str:
        """Return the agent of a hedged flow that isn't ``host``."""
        return self.second_agent if host == self.agent else self.agent

    def reject(self, host: str) -> None:
        """Leave a hedged flow to the agent other than ``host``."""
        self.agent = self.other_agent(host)
        self.second_agent = ""
        self.rejected_agent = host

    def is_expired(self, *, idle_timeout_s: float, now: float) -> bool:
        """Whether the entry was not used for too long."""
        if self.is_closed_by_caller:
            idle_timeout_s = min(idle_timeout_s, CLOSED_BY_CALLER_TTL_S)
        return now - self.used_at > idle_timeout_s


class FlowCache:
    """Caches the owners of flows; a lookup at the agents recovers a lost entry."""

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.flows: dict[FlowKey, CachedFlow] = {}

    def put(
        self,
        key: FlowKey,
        agent: str,
        *,
        now: float,
        is_open: bool,
        is_unconfirmed: bool = False,
        rejected_agent: str = "",
    ) -> None:
        """Store the agent of a flow."""
        self.flows[key] = CachedFlow(
            agent=agent,
            stored_at=now,
            used_at=now,
            is_open=is_open,
            is_unconfirmed=is_unconfirmed,
            rejected_agent=rejected_agent,
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
        self.flows = {
            key: flow
            for key, flow in self.flows.items()
            if not flow.is_expired(idle_timeout_s=self.idle_timeout_s, now=now)
        }
