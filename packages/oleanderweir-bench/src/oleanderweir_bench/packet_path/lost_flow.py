"""A flow that was lost with its backend server."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, eq=False)
class LostFlow:
    """
    What is sent about a lost flow; times are those of trio's clock, in seconds.

    ``first_packet_at`` is when its caller first sent a packet to a balancer that runs
    or is about to, ``reset_at`` when the first reset was sent, ``queries`` the number
    of times that an agent was asked whether its backend server holds the flow.
    """

    first_packet_at: float | None = None
    reset_at: float | None = None
    queries: int = 0
