"""A packet that a balancer sends to an agent."""

from __future__ import annotations

import enum

import attrs


class DeliveryPurpose(enum.IntEnum):
    """Why a packet is sent to an agent."""

    OPEN = 1  # the opening packet of a flow that was placed on the agent
    CONTINUE = 2  # a packet of a flow that is held by the backend server
    QUERY = 3  # a packet of a flow with an unknown owner; the agent claims or denies it
    DELEGATED_LOOKUP = 4  # the same; the agent also queries the others
    OPEN_EVEN_IF_BUSY = 5  # an opening packet that may not be returned as BUSY again


@attrs.frozen(kw_only=True)
class Delivery:
    """
    A packet from a balancer to an agent.

    ``version`` is that of the desired state on which the balancer based its decision.
    For a delegated lookup, it is the revision of the newest change of the backend
    servers that the balancer has.
    """

    purpose: DeliveryPurpose = attrs.field(converter=DeliveryPurpose)
    version: int
    data: bytes
