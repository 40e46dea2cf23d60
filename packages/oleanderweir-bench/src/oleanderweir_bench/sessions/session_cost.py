"""The resources of the processes at some number of sessions."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class SessionCost:
    """
    Means over the balancers and over the agents, with so many sessions in all.

    Processor time is a share of one core over a few seconds of open feeds that tick
    once a second.
    """

    sessions: int
    balancer_memory_bytes: float
    agent_memory_bytes: float
    balancer_cpu_share: float
    agent_cpu_share: float
