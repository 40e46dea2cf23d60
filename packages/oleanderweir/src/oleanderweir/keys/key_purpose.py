"""The purposes of derived keys."""

from __future__ import annotations

from enum import Enum


class KeyPurpose(Enum):
    """The HKDF labels that separate the keys derived from one secret."""

    CONNECTION_ID_BLOCK = b"oleanderweir connection id block"
    CONNECTION_ID_TAG = b"oleanderweir connection id tag"
    SERVICE_TAG = b"oleanderweir service tag"
    ENVELOPE_TO_AGENT = b"oleanderweir envelope to agent"
    ENVELOPE_TO_BALANCER = b"oleanderweir envelope to balancer"
    RETRY_TOKEN = b"oleanderweir retry token"
    STATELESS_RESET = b"oleanderweir stateless reset"
    LOAD_REPORT = b"oleanderweir load report"
