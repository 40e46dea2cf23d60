"""Why a balancer drops a packet."""

from __future__ import annotations

from enum import Enum


class DropReason(Enum):
    """The reason label of the counter of dropped packets."""

    INVALID_PACKET = "invalid_packet"
    INITIAL_TOO_SHORT = "initial_too_short"
    UNKNOWN_CONNECTION_ID = "unknown_connection_id"
    WRONG_SERVICE = "wrong_service"
    NO_BACKEND_SERVER = "no_backend_server"
    SERVICE_REMOVED = "service_removed"
    SEND_FAILED = "send_failed"
    INVALID_ENVELOPE = "invalid_envelope"
    NO_LISTENER = "no_listener"
