"""A packet that an agent could not deliver."""

from __future__ import annotations

import enum

import attrs


class ReturnReason(enum.IntEnum):
    """Why a packet comes back; in none of these cases has a request run."""

    FULL = 1  # the backend server turned the opening packet away
    DRAINING = 2  # the backend server takes no new flows
    NO_ROUTE = 3  # the route doesn't allow the agent's service
    NOT_HELD = 4  # the backend server doesn't hold the flow
    LOST = 5  # the flow was held by an earlier start of the backend server
    HELD_NOWHERE = 7  # the agent asked all others, and none holds the flow
    UNANSWERED = 6  # the backend server stayed silent on the opening packet
    NOT_TRIED = 9  # the flow is unknown, and its route leads elsewhere: ask for it
    BUSY = 8  # requests wait here already; another backend server may have a slot


@attrs.frozen(kw_only=True)
class ReturnedPacket:
    """A packet from an agent back to the balancer that sent it."""

    reason: ReturnReason = attrs.field(converter=ReturnReason)
    data: bytes
