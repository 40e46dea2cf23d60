"""The messages of one session, as they are sent and received."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.replication.exceptions import PeerUnavailableError


if TYPE_CHECKING:
    from oleanderweir.replication.messages import PeerMessage
    from oleanderweir.replication.peer_stream import PeerStream
    from oleanderweir.replication.replication_context import ReplicationContext


FRAMING_BYTES = 120


@attrs.frozen(kw_only=True)
class MessageStream:
    """Encodes and decodes the messages of a session, and charges them to the budget."""

    context: ReplicationContext
    stream: PeerStream

    async def send(self, message: PeerMessage) -> None:
        """Send one message; raise ``PeerUnavailableError`` after the timeout."""
        data = self.context.codec.encode(message)
        self.context.budget.charge(len(data) + FRAMING_BYTES, direction="sent")
        timeout_s = self.context.settings.send_timeout_s
        with trio.move_on_after(timeout_s) as scope:
            await self.stream.send(data)
        if scope.cancelled_caught:
            raise PeerUnavailableError(
                f"sending to the peer timed out after {timeout_s} s"
            )

    async def receive(self) -> PeerMessage:
        """Receive one message, without a timeout."""
        data = await self.stream.receive()
        self.context.budget.charge(len(data) + FRAMING_BYTES, direction="received")
        return self.context.codec.decode(data)
