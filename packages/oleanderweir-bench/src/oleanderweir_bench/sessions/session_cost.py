"""The resource usage of the processes at a number of sessions."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class SessionCost:
    """
    Means over the balancers and over the agents with ``sessions`` sessions in total.

    Processor time is a share of one core, over a few seconds in which every session has
    a feed with one tick a second.
    """

    sessions: int
    balancer_memory_bytes: float
    agent_memory_bytes: float
    balancer_cpu_share: float
    agent_cpu_share: float
