"""A backend server and the agent beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class BackendServer:
    """
    A backend server, as the ticket in force describes it.

    ``agent_address`` takes the packets of callers (UDP), ``peer_address`` takes
    the calls of other agents (TCP). ``slots`` is the number of requests that the
    backend server runs at once, ``connections`` the number of feeds it holds. A
    draining backend server takes no new work; its sessions may go on for
    ``drain_period_s``.
    """

    name: str
    service: str
    availability_zone: str
    agent_address: SocketAddress
    peer_address: SocketAddress
    slots: int
    connections: int = 2000
    is_draining: bool = False
    drain_period_s: float = 600.0
