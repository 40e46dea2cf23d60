"""The transport that opens and accepts streams between peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from oleanderweir.replication.peer_stream import PeerStream


class PeerTransport(Protocol):
    """
    Opens and accepts streams between peers.

    Both sides of a stream are authenticated as instances of the same installation.
    """

    def serve(
        self, handler: Callable[[PeerStream], Awaitable[None]]
    ) -> AbstractAsyncContextManager[None]:
        """
        Accept streams while entered, and call ``handler`` for each in its own task.

        ``connect`` works only inside this context. Raise ``AddressInUseError`` when
        the address cannot be bound.
        """

    def connect(self, address: str) -> AbstractAsyncContextManager[PeerStream]:
        """
        Open a stream to ``HOST:PORT`` and close it on exit.

        Raise ``PeerUnavailableError`` when the peer is unreachable.
        """
