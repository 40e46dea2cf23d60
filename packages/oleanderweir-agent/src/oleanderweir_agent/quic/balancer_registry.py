"""The balancers from which an agent receives packets."""

from __future__ import annotations

import trio


MAX_BALANCER_AGE_S = 60.0
RECENT_WINDOW_S = 2.0
MAX_BALANCERS = 64


class BalancerRegistry:
    """
    Balancers ordered by the time of their last packet, the most recent last.

    Addresses are ``(host, port)`` pairs as in the ``socket`` module, which saves a
    conversion on every packet.
    """

    def __init__(self) -> None:
        self.last_received_at: dict[tuple[str, int], float] = {}

    def record(self, balancer: tuple[str, int]) -> None:
        """Record that an authentic packet arrived from a balancer."""
        self.last_received_at.pop(balancer, None)
        self.last_received_at[balancer] = trio.current_time()
        if len(self.last_received_at) > MAX_BALANCERS:
            del self.last_received_at[next(iter(self.last_received_at))]

    def others(self, balancer: tuple[str, int]) -> list[tuple[str, int]]:
        """
        Return the other balancers with recent packets, the most recent first.

        A balancer is omitted if its last packet is more than ``RECENT_WINDOW_S``
        older than that of the most recent other balancer, or older than
        ``MAX_BALANCER_AGE_S``.
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
