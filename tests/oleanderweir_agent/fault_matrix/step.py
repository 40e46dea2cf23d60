from __future__ import annotations

import enum


class Step(enum.Enum):
    """The points at which a fault can be injected, in the order of processing."""

    OFFERING = "offer: connecting to the peer agent"
    OFFER_SENT = "offer: sent, not yet taken"
    ACCEPTED = "offer: taken"
    CONNECTING = "backend server: connecting"
    CONNECTED = "backend server: connected, before the first byte"
    MID_REQUEST = "backend server: in the middle of the request"
    RECEIVED = "backend server: request received, not yet run"
    RUNNING = "backend server: while it runs"
    RAN = "backend server: after it ran, before the head"
    MID_BODY = "backend server: in the middle of the body"
    BEFORE_END = "backend server: before the end of the answer"
    RELAYED_HEAD = "relay: head of the answer"
    RELAYED_BODY = "relay: body of the answer"
    RELAYED_END = "relay: end of the answer"


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
