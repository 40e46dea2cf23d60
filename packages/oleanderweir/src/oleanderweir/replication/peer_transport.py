"""How sessions are opened and taken."""

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
    Opens and takes streams between peers.

    Both ends of each stream have proven that they belong to the installation.
    """

    def serve(
        self, handler: Callable[[PeerStream], Awaitable[None]]
    ) -> AbstractAsyncContextManager[None]:
        """
        Take streams, one task and one call of ``handler`` each, while entered.

        ``connect`` works only inside this context. Raise ``AddressInUseError`` when
        the address can't be bound.
        """

    def connect(self, address: str) -> AbstractAsyncContextManager[PeerStream]:
        """
        Open a stream to ``HOST:PORT``, and end it on exit.

        Raise ``PeerUnavailableError`` when the peer can't be reached.
        """
