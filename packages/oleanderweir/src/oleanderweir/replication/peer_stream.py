"""One session's stream of encoded messages."""

from __future__ import annotations

from typing import Protocol


class PeerStream(Protocol):
    """An authenticated, ordered stream of encoded messages with one peer."""

    async def send(self, data: bytes) -> None:
        """Send an encoded message; raise ``PeerClosedError`` when the peer is gone."""

    async def receive(self) -> bytes:
        """
        Return the next encoded message.

        Raise ``PeerClosedError`` when the peer is gone, and
        ``PeerMessageTooLargeError`` for a message over ``MAX_ENCODED_BYTES``.
        """
