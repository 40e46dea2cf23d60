"""gRPC streams to peer agents, multiplexed over one connection per peer."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import trio
from grpclib.client import Channel
from grpclib.const import Cardinality
from trio_asyncio import aio_as_trio

from oleanderweir.replication import PeerClosedError
from oleanderweir.replication import PeerUnavailableError
from oleanderweir.replication.bytes_codec import BytesCodec
from oleanderweir.replication.grpc_peer_stream import STREAM_ERRORS
from oleanderweir.replication.grpc_peer_stream import GrpcPeerStream


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import PeerCredentials
    from oleanderweir.replication import PeerStream


RELAY_METHOD = "/oleanderweir.agent.Relay/Run"
CONNECT_TIMEOUT_S = 0.5


class GrpcRelayConnector:
    """
    Keeps one channel to each peer and opens a stream on it for each offer.

    A channel that lost its connection reconnects when the next stream is opened. The
    connector must be used inside a trio-asyncio loop.
    """

    def __init__(self, *, credentials: PeerCredentials) -> None:
        self.context = credentials.client_context()
        self.channels: dict[SocketAddress, Channel] = {}

    @asynccontextmanager
    async def connect(self, address: SocketAddress) -> AsyncIterator[PeerStream]:
        """Open a stream and reset it on exit; raise ``PeerUnavailableError``."""
        channel = await aio_as_trio(self._ensure_channel)(address)
        stream: Any = channel.request(
            RELAY_METHOD, Cardinality.STREAM_STREAM, bytes, bytes
        )
        try:
            await self._open_stream(stream, address)
            yield GrpcPeerStream(stream=stream)
        finally:
            await self._reset_stream(stream)

    def close(self) -> None:
        """Close every channel."""
        for channel in self.channels.values():
            channel.close()

    async def _ensure_channel(self, address: SocketAddress) -> Channel:
        """Return the channel to a peer; create it if there is none."""
        if address not in self.channels:
            self.channels[address] = Channel(
                address.host, address.port, ssl=self.context, codec=BytesCodec()
            )
        return self.channels[address]

    async def _open_stream(self, stream: Any, address: SocketAddress) -> None:
        """Connect if necessary and open the stream, without sending a message."""
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                await aio_as_trio(stream.__aenter__)()
                await aio_as_trio(stream.send_request)()
            except STREAM_ERRORS as error:
                raise PeerUnavailableError(
                    f"cannot connect to peer agent {address}: {error!r}"
                ) from error
            return
        raise PeerUnavailableError(
            f"cannot open a stream to peer agent {address} within {CONNECT_TIMEOUT_S} s"
        )

    async def _reset_stream(self, stream: Any) -> None:
        """Reset a stream that is still open, so that the peer stops its request."""
        error = PeerClosedError("the offering agent closed the relay stream")
        with trio.move_on_after(CONNECT_TIMEOUT_S, shield=True):
            # An error as argument makes grpclib reset and release the stream at once.
            await aio_as_trio(stream.__aexit__)(type(error), error, None)
