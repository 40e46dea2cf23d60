"""The interface for opening streams to peer agents."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import PeerStream


class RelayConnector(Protocol):
    """Opens authenticated streams to peer agents."""

    def connect(
        self, address: SocketAddress
    ) -> AbstractAsyncContextManager[PeerStream]:
        """Open a stream and reset it on exit; raise ``PeerUnavailableError``."""
