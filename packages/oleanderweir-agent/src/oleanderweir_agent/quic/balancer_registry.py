"""The balancers that an agent hears from."""

from __future__ import annotations

import trio


BALANCER_MEMORY_S = 60.0
RECENT_S = 2.0
MAX_BALANCERS = 64


class BalancerRegistry:
    """
    The balancers that this agent hears from, the latest last.

    Addresses are in the socket module's form, since every packet passes here.
    """

    def __init__(self) -> None:
        self.heard_at: dict[tuple[str, int], float] = {}

    def note(self, balancer: tuple[str, int]) -> None:
        """Remember that a balancer carried an authentic packet just now."""
        self.heard_at.pop(balancer, None)
        self.heard_at[balancer] = trio.current_time()
        if len(self.heard_at) > MAX_BALANCERS:
            del self.heard_at[next(iter(self.heard_at))]

    def others(self, balancer: tuple[str, int]) -> list[tuple[str, int]]:
        """
        Return the other balancers heard from lately, the latest first.

        Those that fell silent while the latest was still heard are left out.
        """
        others = [
            (other, heard_at)
            for other, heard_at in reversed(self.heard_at.items())
            if other != balancer
        ]
        if not others:
            return []
        latest = others[0][1]
        oldest = max(latest - RECENT_S, trio.current_time() - BALANCER_MEMORY_S)
        return [other for other, heard_at in others if heard_at >= oldest]
