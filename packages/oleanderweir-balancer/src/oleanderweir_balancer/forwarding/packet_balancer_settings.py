"""Settings of the packet-forwarding balancer."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PacketBalancerSettings:
    """
    Ports that a balancer sends to.

    ``caller_port`` is the port on which every caller receives packets, ``peer_port``
    the port on which every balancer and agent receives messages of its peers.
    """

    caller_port: int
    peer_port: int
