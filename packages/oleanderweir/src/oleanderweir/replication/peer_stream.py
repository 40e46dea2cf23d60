"""The stream of encoded messages of a peer session."""

from __future__ import annotations

from typing import Protocol


class PeerStream(Protocol):
    """An authenticated, ordered stream of encoded messages with one peer."""

    async def send(self, data: bytes) -> None:
        """Send an encoded message; raise ``PeerClosedError`` on a closed stream."""

    async def receive(self) -> bytes:
        """
        Return the next encoded message.

        Raise ``PeerClosedError`` on a closed stream and
        ``PeerMessageTooLargeError`` for a message over ``MAX_ENCODED_BYTES``.
        """
