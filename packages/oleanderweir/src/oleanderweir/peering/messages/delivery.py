"""A packet that is sent to an agent."""

from __future__ import annotations

import enum

import attrs


class DeliveryPurpose(enum.IntEnum):
    """Why a packet is sent to an agent."""

    OPEN = 1  # the opening packet of a flow that was placed on the agent
    CONTINUE = 2  # a packet of a flow that is held by the backend server
    QUERY = 3  # a packet of a flow with an unknown owner; the agent claims or denies it
    DELEGATED_LOOKUP = 4  # the same; the agent queries all possible owners
    OPEN_AS_LAST_RESORT = 5  # an opening packet as the last resort, never returned BUSY
    TABLE_QUERY = 6  # a query that is answered without asking the backend server
    HEDGED_QUERY = 7  # the same, of a flow whose opening packet went to two agents


@attrs.frozen(kw_only=True)
class Delivery:
    """
    A packet from a balancer, or from the delegate of a lookup, to an agent.

    ``version`` is that of the desired state on which the balancer based its decision,
    0 from a delegate. For a delegated lookup, it is the revision of the newest change
    of the backend servers that the balancer has. ``hosts`` restricts a delegated lookup
    to these agents, which the delegate may not know.
    """

    purpose: DeliveryPurpose = attrs.field(converter=DeliveryPurpose)
    version: int
    data: bytes
    hosts: tuple[str, ...] = attrs.field(converter=tuple[str, ...], default=())
