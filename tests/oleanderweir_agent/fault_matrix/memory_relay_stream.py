from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import trio

from oleanderweir.replication import PeerClosedError


Filter = Callable[[bytes], Awaitable[list[bytes]]]


@attrs.define(kw_only=True, eq=False)
class MemoryRelayStream:
    """One end of a stream between two agents; ``pass_on`` may hold messages back."""

    outgoing: trio.MemorySendChannel[bytes]
    incoming: trio.MemoryReceiveChannel[bytes]
    pass_on: Filter

    async def send(self, data: bytes) -> None:
        try:
            for message in await self.pass_on(data):
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
