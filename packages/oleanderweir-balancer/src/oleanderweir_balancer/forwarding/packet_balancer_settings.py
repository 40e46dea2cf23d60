"""Settings of the packet-forwarding balancer."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PacketBalancerSettings:
    """
    Ports of the other ends.

    ``caller_port`` is the port of every caller for packets that come to it,
    ``peer_port`` that of every process of the system for its peers.
    """

    caller_port: int
    peer_port: int
