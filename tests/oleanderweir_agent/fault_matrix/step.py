from __future__ import annotations

import enum


class Step(enum.Enum):
    """The points at which a fault can be injected, in the order of processing."""

    OFFERING = "offer: connecting to the peer agent"
    OFFER_SENT = "offer: sent, not yet accepted"
    ACCEPTED = "offer: accepted"
    CONNECTING = "backend server: connecting"
    CONNECTED = "backend server: connected, before the first byte"
    MID_REQUEST = "backend server: in the middle of the request"
    RECEIVED = "backend server: request received, not yet run"
    RUNNING = "backend server: while the request runs"
    RAN = "backend server: after the request ran, before the response head"
    MID_BODY = "backend server: in the middle of the response body"
    BEFORE_END = "backend server: before the end of the response"
    RELAYED_HEAD = "relay: head of the response"
    RELAYED_BODY = "relay: body of the response"
    RELAYED_END = "relay: end of the response"


RELAY_STEPS = frozenset(
    {
        Step.OFFERING,
        Step.OFFER_SENT,
        Step.ACCEPTED,
        Step.RELAYED_HEAD,
        Step.RELAYED_BODY,
        Step.RELAYED_END,
    }
)
