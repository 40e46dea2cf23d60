"""The message stream of one relayed request."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.replication import PeerStream
    from oleanderweir_agent.peers.messages import RelayMessage
    from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec


class RelayStream:
    """
    Sends and receives typed messages.

    Both methods raise ``PeerClosedError`` if the stream was closed or lost.
    """

    def __init__(self, *, stream: PeerStream, codec: RelayMessageCodec) -> None:
        self.stream = stream
        self.codec = codec

    async def send(self, message: RelayMessage) -> None:
        """Send a message."""
        await self.stream.send(self.codec.encode(message))

    async def receive(self) -> RelayMessage:
        """Return the next message; raise ``InvalidRelayMessageError`` if malformed."""
        return self.codec.decode(await self.stream.receive())
