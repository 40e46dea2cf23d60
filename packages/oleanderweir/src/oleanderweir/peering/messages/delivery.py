"""A packet for a backend server."""

from __future__ import annotations

import enum

import attrs


class DeliveryPurpose(enum.IntEnum):
    """Why a packet is sent to an agent."""

    OPEN = 1  # the opening packet of a flow that was placed there
    CONTINUE = 2  # a packet of a flow that is held there
    QUERY = 3  # a packet of a flow whose owner the sender doesn't know
    DELEGATED_LOOKUP = 4  # the same; the agent is to ask the others too
    OPEN_EVEN_IF_BUSY = 5  # an opening packet that busier agents gave back before


@attrs.frozen(kw_only=True)
class Delivery:
    """
    A packet from a balancer to an agent.

    ``version`` is that of the desired state by which the balancer decided; in a search,
    the revision of the newest change of the backend servers that the balancer knows.
    """

    purpose: DeliveryPurpose = attrs.field(converter=DeliveryPurpose)
    version: int
    data: bytes
