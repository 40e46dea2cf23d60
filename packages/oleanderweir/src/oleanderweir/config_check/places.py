"""Names of the places of findings."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.desired_state import Route


CONFIGURATION = "configuration"
PORT_BYTES = 2
# Enough to recognise a name; a message has room for several.
MAX_NAME_CHARS = 64


def host_of(route: Route) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """Return the IP address of a route."""
    return ipaddress.ip_address(route.address[:-PORT_BYTES])


def describe_route(route: Route) -> str:
    """Return the name of a route, with address and port."""
    host = host_of(route)
    port = int.from_bytes(route.address[-PORT_BYTES:], "big")
    return f"route {route.name[:MAX_NAME_CHARS]} ({host}:{port})"


def describe_service(name: str) -> str:
    """Return the name of a service as a place."""
    return f"service {name[:MAX_NAME_CHARS]}"
