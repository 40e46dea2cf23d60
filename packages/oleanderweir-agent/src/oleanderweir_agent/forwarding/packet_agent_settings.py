"""Settings of the packet-forwarding agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class PacketAgentSettings:
    """
    The address of the backend server, and the ports of callers and peers.

    Packets for the backend server are sent to ``backend_address``. ``caller_port`` is
    the port at which every caller receives packets, ``peer_port`` the one at which
    every balancer and agent receives messages of its peers.
    """

    backend_address: SocketAddress
    caller_port: int
    peer_port: int
