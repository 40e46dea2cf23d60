from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import trio

from oleanderweir.replication import PeerClosedError


MessageFilter = Callable[[bytes], Awaitable[list[bytes]]]


@attrs.define(kw_only=True, eq=False)
class MemoryRelayStream:
    """One end of a stream between two agents, with a filter for sent messages."""

    outgoing: trio.MemorySendChannel[bytes]
    incoming: trio.MemoryReceiveChannel[bytes]
    filter_message: MessageFilter

    async def send(self, data: bytes) -> None:
        try:
            for message in await self.filter_message(data):
                await self.outgoing.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerClosedError("closed") from error

    async def receive(self) -> bytes:
        try:
            return await self.incoming.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as error:
            raise PeerClosedError("closed") from error

    def close(self) -> None:
        self.outgoing.close()
        self.incoming.close()
