"""Addresses, ports and times of an emulated site."""

from __future__ import annotations


SERVICE = "feed"
OTHER_SERVICE = "archive"
AVAILABILITY_ZONE = "a"
ROUTE = bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big")
CALLER_PORT = 8172
PEER_PORT = 7720
BACKEND_PORT = 8080
OUTBOUND_PORT = 8162
# Requests that a backend server runs concurrently.
SLOTS = 4
FLOW_TTL_S = 60.0
TICK_S = 0.05
# Ticks between two expiries of what a process keeps.
EXPIRY_TICKS = 20
# Time between the signal to stop a process and its end.
GRACE_S = 5.0
