"""Where a packet-forwarding process listens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class ProcessAddresses:
    """
    Addresses of one process, and how routers ask whether it is ready.

    ``peer`` takes datagrams and connections of the system's other processes.
    """

    peer: SocketAddress
    readiness: SocketAddress
    readiness_path: str
    metrics: SocketAddress
    metrics_path: str
