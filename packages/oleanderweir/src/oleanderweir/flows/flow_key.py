"""The key that identifies a flow."""

from __future__ import annotations

import socket
from typing import NewType


# The packed address and port of the caller, then those of the route: 12 bytes in
# network order, the same in both directions.
FlowKey = NewType("FlowKey", bytes)

PACKED_ADDRESS_BYTES = 6
FLOW_KEY_BYTES = 2 * PACKED_ADDRESS_BYTES


def make_flow_key(*, caller: bytes, route: bytes) -> FlowKey:
    """Return the key of the flow between two packed addresses."""
    return FlowKey(caller + route)


def caller_host(key: FlowKey) -> str:
    """Return the caller's address in dotted notation."""
    return socket.inet_ntoa(key[:4])


def route_address(key: FlowKey) -> bytes:
    """Return the packed address and port of the route."""
    return key[PACKED_ADDRESS_BYTES:]


def describe_flow(key: FlowKey) -> str:
    """Return the notation of a flow in logs: ``caller>route``, both ``host:port``."""
    return f"{_describe(key[:6])}>{_describe(key[6:])}"


def _describe(packed: bytes) -> str:
    port = int.from_bytes(packed[4:6], "big")
    return f"{socket.inet_ntoa(packed[:4])}:{port}"
