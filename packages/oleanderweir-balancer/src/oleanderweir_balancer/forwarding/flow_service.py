"""The service to which a route leads a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.desired_state import Route
    from oleanderweir.flows import FlowKey


# Spreads callers over the shares of a route (Knuth's multiplicative hash).
SHARE_HASH_FACTOR = 2654435761
SHARE_HASH_SHIFT = 8


def choose_flow_service(route: Route, key: FlowKey) -> str:
    """Return the service of a new flow; the same one for all its opening packets."""
    number = int.from_bytes(key[:6], "big") * SHARE_HASH_FACTOR >> SHARE_HASH_SHIFT
    return route.choose_service(number)
