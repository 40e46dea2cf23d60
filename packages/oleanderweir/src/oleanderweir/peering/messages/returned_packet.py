"""A packet that an agent returns to the balancer."""

from __future__ import annotations

import enum

import attrs


class ReturnReason(enum.IntEnum):
    """Why an agent returns a packet; in none of these cases has a request run."""

    FULL = 1  # the backend server refused the opening packet or is unresponsive
    DRAINING = 2  # the backend server accepts no new flows
    NO_ROUTE = 3  # the route doesn't allow the agent's service
    NOT_HELD = 4  # the backend server doesn't hold the flow
    LOST = 5  # the flow was open, and the backend server is down or was restarted
    HELD_NOWHERE = 7  # all agents denied the flow in a delegated lookup
    UNANSWERED = 6  # the backend server did not respond to the opening packet
    NOT_TRIED = 9  # the flow is unknown and its route excludes the agent: look it up
    UNKNOWN = 10  # the agent has no entry of the flow; its backend server may hold it
    PARTLY_DENIED = 11  # a lookup continues, in which the agents in ``hosts`` denied it
    EVACUATED = 12  # operators evacuated the availability zone of the backend server
    BUSY = 8  # requests are queued; another backend server may have a free slot
    COLD = 13  # the backend server is in its cold start, and at its rate limit


@attrs.frozen(kw_only=True)
class ReturnedPacket:
    """
    A packet that an agent sends back, unserved, to the balancer it came from.

    ``hosts`` are the agents that denied the flow in a delegated lookup.
    ``is_port_used`` tells that a backend server holds another flow of the caller's
    port, which may be the later one: a reset might reach it.
    """

    reason: ReturnReason = attrs.field(converter=ReturnReason)
    data: bytes
    hosts: tuple[str, ...] = attrs.field(converter=tuple[str, ...], default=())
    is_port_used: bool = False
