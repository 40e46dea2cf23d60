"""The routes of a site."""

from __future__ import annotations

from oleanderweir.desired_state import Route
from oleanderweir.desired_state import ServiceShare


TIMEOUT_S = 2.0
TARGET_LATENCY_S = 0.25


def make_route(address: bytes, service: str, *, is_idempotent: bool = False) -> Route:
    """Return a route that leads to one service."""
    return Route(
        name=f"to-{service}",
        address=address,
        shares=(ServiceShare(service=service, weight=1),),
        timeout_s=TIMEOUT_S,
        target_latency_s=TARGET_LATENCY_S,
        priority=1,
        is_idempotent=is_idempotent,
    )
