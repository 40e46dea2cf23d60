"""Reasons for the rejection of a request."""

from __future__ import annotations

import enum


class RejectionReason(enum.Enum):
    """Why a request was rejected without having run; values are metric labels."""

    AGENT_STARTING = "agent_starting"
    BACKEND_DEAD = "backend_dead"
    BACKEND_PAUSED = "backend_paused"
    BACKEND_SHED = "backend_shed"
    BACKEND_UNREACHABLE = "backend_unreachable"
    CONNECTIONS_FULL = "connections_full"
    DEADLINE_PAST = "deadline_past"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DRAINING = "draining"
    INVALID_REQUEST = "invalid_request"
    NO_PEER = "no_peer"
    QUEUE_TIMEOUT = "patience_over"
    PEER_REFUSED = "peer_refused"
    QUEUE_FULL = "queue_full"
    WAIT_TOO_LONG = "wait_too_long"
    RETRIES_EXHAUSTED = "retries_exhausted"
