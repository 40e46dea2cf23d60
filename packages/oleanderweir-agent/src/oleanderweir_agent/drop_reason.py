"""Reasons for which an agent drops a packet."""

from __future__ import annotations

from enum import Enum


class DropReason(Enum):
    """Why a packet was dropped; values are metric labels."""

    INVALID_ENVELOPE = "invalid_envelope"
    INVALID_PACKET = "invalid_packet"
    WRONG_SERVICE = "wrong_service"
    STALE_INCARNATION = "stale_incarnation"
    UNKNOWN_CONNECTION = "unknown_connection"
    INVALID_RETRY_TOKEN = "invalid_retry_token"
    NOT_READY = "not_ready"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    SEND_FAILED = "send_failed"
