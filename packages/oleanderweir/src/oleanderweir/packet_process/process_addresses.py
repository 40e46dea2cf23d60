"""The addresses on which a packet-forwarding process listens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class ProcessAddresses:
    """
    The addresses of one process, and the HTTP paths of its readiness and metrics.

    ``peer`` receives datagrams and connections from other balancers and agents.
    Routers poll ``readiness_path`` to decide whether to send packets.
    """

    peer: SocketAddress
    readiness: SocketAddress
    readiness_path: str
    metrics: SocketAddress
    metrics_path: str
