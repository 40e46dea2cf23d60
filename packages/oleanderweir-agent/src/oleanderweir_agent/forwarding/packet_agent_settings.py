"""Settings of the packet-forwarding agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class PacketAgentSettings:
    """
    The backend server beside the agent, and ports of the other ends.

    ``backend_address`` takes the packets for the backend server. ``caller_port`` is
    the port of every caller for packets that come to it, ``peer_port`` that of every
    process of the system for its peers.
    """

    backend_address: SocketAddress
    caller_port: int
    peer_port: int
