"""A route from one address to services."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A service and its relative weight for the new flows of a route."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """
    The services behind one address, and the limits of its requests.

    ``priority`` 0 is the highest. ``timeout_s`` is the time limit of a request and
    ``target_latency_s`` its desired latency, both in seconds. Requests of a route that
    ``is_idempotent`` may run more than once.
    """

    name: str
    address: bytes
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    is_idempotent: bool = False

    def choose_service(self, number: int) -> str:
        """Return a service by weight, for a uniformly distributed number."""
        total = sum(share.weight for share in self.shares)
        rest = number % max(total, 1)
        for share in self.shares:
            rest -= share.weight
            if rest < 0:
                return share.service
        return self.shares[-1].service

    def allows(self, service: str) -> bool:
        """Whether new flows of the route may be placed on a service."""
        return any(
            share.service == service and share.weight > 0 for share in self.shares
        )
