"""Reasons for the failure of a request that may have run."""

from __future__ import annotations

import enum


class FailureReason(enum.Enum):
    """Why a request that may have run failed; values are metric labels."""

    RESPONSE_TRUNCATED = "answer_cut"
    BACKEND_LOST = "backend_lost"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    PEER_LOST = "peer_lost"
    COPY_FAILED = "copy_failed"
