"""A backend server and its agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class BackendServer:
    """
    A backend server, as described by the ticket in force.

    ``agent_address`` receives the packets of callers (UDP), ``peer_address`` the
    calls (TCP) and the load reports (UDP) of other agents. ``slots`` limits the
    requests that the backend server runs at the same time, ``connections`` its open
    feeds. A draining backend server accepts no new work; its sessions may continue
    for ``drain_period_s``.
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
