"""The balancers that an agent hears from."""

from __future__ import annotations

import trio


MAX_BALANCER_AGE_S = 60.0
RECENT_WINDOW_S = 2.0
MAX_BALANCERS = 64


class BalancerRegistry:
    """
    The balancers that this agent hears from, the latest last.

    Addresses are in the socket module's form, since every packet passes here.
    """

    def __init__(self) -> None:
        self.last_received_at: dict[tuple[str, int], float] = {}

    def record(self, balancer: tuple[str, int]) -> None:
        """Remember that a balancer carried an authentic packet just now."""
        self.last_received_at.pop(balancer, None)
        self.last_received_at[balancer] = trio.current_time()
        if len(self.last_received_at) > MAX_BALANCERS:
            del self.last_received_at[next(iter(self.last_received_at))]

    def others(self, balancer: tuple[str, int]) -> list[tuple[str, int]]:
        """
        Return the other balancers heard from lately, the latest first.

        Those that fell silent while the latest was still heard are left out.
        """
        others = [
            (other, last_received_at)
            for other, last_received_at in reversed(self.last_received_at.items())
            if other != balancer
        ]
        if not others:
            return []
        latest = others[0][1]
        oldest = max(latest - RECENT_WINDOW_S, trio.current_time() - MAX_BALANCER_AGE_S)
        return [
            other for other, last_received_at in others if last_received_at >= oldest
        ]
