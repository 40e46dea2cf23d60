"""Where the flows of one address go."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A service with its share of a route's new flows, relative to the others."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """
    The services behind one address, and what its requests expect.

    ``priority`` 0 goes first. Times are in seconds: ``timeout_s`` bounds a request,
    ``target_latency_s`` is when its answer is wanted.
    """

    name: str
    address: bytes
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int

    def choose_service(self, number: int) -> str:
        """Return the service that a number from a uniform draw falls to."""
        total = sum(share.weight for share in self.shares)
        rest = number % max(total, 1)
        for share in self.shares:
            rest -= share.weight
            if rest < 0:
                return share.service
        return self.shares[-1].service

    def allows(self, service: str) -> bool:
        """Whether new flows of the route may go to a service."""
        return any(
            share.service == service and share.weight > 0 for share in self.shares
        )
