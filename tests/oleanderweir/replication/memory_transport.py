"""An in-memory transport with delay and partitions."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.replication import PeerClosedError
from oleanderweir.replication import PeerUnavailableError


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir.replication import PeerStream


CONNECT_TIMEOUT_S = 2.0
Packets = trio.MemorySendChannel[tuple[float, bytes]]
Arrivals = trio.MemoryReceiveChannel[tuple[float, bytes]]


@attrs.define(kw_only=True, eq=False)
class MemoryNetwork:
    """A network of servers; ``is_cut`` states whether two addresses are separated."""

    delay_s: float = 0.002
    is_cut: Callable[[str, str], bool] = lambda source, target: False
    servers: dict[str, MemoryTransport] = attrs.field(factory=dict)

    def isolate(self, address: str) -> None:
        """Separate one address from all others."""
        self.is_cut = lambda source, target: address in {source, target}

    def heal(self) -> None:
        """End the separation of addresses."""
        self.is_cut = lambda source, target: False

    async def wait_connected(self, source: str, target: str) -> None:
        while self.is_cut(source, target):
            await trio.sleep(0.1)


@attrs.define(kw_only=True, eq=False)
class MemoryStream:
    network: MemoryNetwork
    own_address: str
    peer_address: str
    packets: Packets
    arrivals: Arrivals

    async def send(self, data: bytes) -> None:
        try:
            await self.packets.send((trio.current_time() + self.network.delay_s, data))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerClosedError("the stream is closed") from error

    async def receive(self) -> bytes:
        try:
            arrives_at, data = await self.arrivals.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as error:
            raise PeerClosedError("the stream is closed") from error
        await trio.sleep_until(max(arrives_at, trio.current_time()))
        await self.network.wait_connected(self.peer_address, self.own_address)
        return data

    def close(self) -> None:
        self.packets.close()
        self.arrivals.close()


@attrs.define(kw_only=True, eq=False)
class MemoryTransport:
    network: MemoryNetwork
    address: str
    nursery: trio.Nursery | None = None
    handler: Callable[[PeerStream], Awaitable[None]] | None = None

    @asynccontextmanager
    async def serve(
        self, handler: Callable[[PeerStream], Awaitable[None]]
    ) -> AsyncIterator[None]:
        self.handler = handler
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.network.servers[self.address] = self
            try:
                yield
            finally:
                if self.network.servers.get(self.address) is self:
                    del self.network.servers[self.address]
                nursery.cancel_scope.cancel()

    @asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[PeerStream]:
        await trio.sleep(self.network.delay_s)
        if self.network.is_cut(self.address, address):
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnavailableError("the network is partitioned")
        server = self.network.servers.get(address)
        if server is None or server.nursery is None:
            raise PeerUnavailableError(f"no server listens at {address}")
        outbound: tuple[Packets, Arrivals] = trio.open_memory_channel(1000)
        inbound: tuple[Packets, Arrivals] = trio.open_memory_channel(1000)
        client_stream = self._stream(self.address, address, outbound[0], inbound[1])
        server_stream = self._stream(address, self.address, inbound[0], outbound[1])
        server.nursery.start_soon(server.accept, server_stream)
        try:
            yield client_stream
        finally:
            client_stream.close()

    def _stream(
        self, own: str, peer: str, packets: Packets, arrivals: Arrivals
    ) -> MemoryStream:
        return MemoryStream(
            network=self.network,
            own_address=own,
            peer_address=peer,
            packets=packets,
            arrivals=arrivals,
        )

    async def accept(self, stream: MemoryStream) -> None:
        assert self.handler is not None
        try:
            await self.handler(stream)
        finally:
            stream.close()
