"""Peer sessions over gRPC with mutual TLS."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import attrs
import trio
import trio_asyncio
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.server import Server
from trio_asyncio import aio_as_trio

from oleanderweir.net import AddressInUseError
from oleanderweir.replication.bytes_codec import BytesCodec
from oleanderweir.replication.exceptions import PeerUnavailableError
from oleanderweir.replication.grpc_peer_stream import STREAM_ERRORS
from oleanderweir.replication.grpc_peer_stream import GrpcPeerStream
from oleanderweir.replication.stream_service import StreamService


if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.net import SocketAddress
    from oleanderweir.replication.peer_credentials import PeerCredentials
    from oleanderweir.replication.peer_stream import PeerStream


SESSION_METHOD = "/oleanderweir.spreading.Peers/Session"
CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
BACKLOG = 128


@attrs.define(kw_only=True, eq=False)
class GrpcPeerTransport:
    """
    Opens and accepts gRPC streams with mutual TLS under one authority.

    Sessions and the calls of ``other_services`` are accepted at ``bind_address``.
    """

    bind_address: SocketAddress
    credentials: PeerCredentials
    other_services: Sequence[StreamService] = ()
    client_context: ssl.SSLContext = attrs.field(init=False)
    server_context: ssl.SSLContext = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.client_context = self.credentials.client_context()
        self.server_context = self.credentials.server_context()

    @asynccontextmanager
    async def serve(
        self, handler: Callable[[PeerStream], Awaitable[None]]
    ) -> AsyncIterator[None]:
        """
        Accept sessions while entered, and call ``handler`` for each.

        Raise ``AddressInUseError`` when ``bind_address`` cannot be bound.
        """
        listener = bind_listener(self.bind_address)
        async with trio_asyncio.open_loop():
            service = StreamService(method=SESSION_METHOD, handler=handler)
            server = await aio_as_trio(self._start)(service, listener)
            try:
                yield
            finally:
                with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                    await aio_as_trio(self._stop)(server)

    @asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[PeerStream]:
        """
        Open the stream of a session and close it on exit.

        Raise ``PeerUnavailableError`` when the peer is unreachable.
        """
        channel: Channel = await aio_as_trio(self._open_channel)(address)
        try:
            stream = await self._open_stream(channel, address)
            yield GrpcPeerStream(stream=stream)
        finally:
            # Closing the connection closes its only stream on both sides.
            channel.close()

    async def _start(self, service: StreamService, listener: socket.socket) -> Server:
        """Start the gRPC server on the listening socket."""
        server = Server([service, *self.other_services], codec=BytesCodec())
        await server.start(sock=listener, ssl=self.server_context)
        return server

    async def _stop(self, server: Server) -> None:
        """Stop listening and close the accepted sessions."""
        server.close()
        await server.wait_closed()

    async def _open_channel(self, address: str) -> Channel:
        """Return a channel that connects with its first request."""
        host, _, port = address.rpartition(":")
        return Channel(host, int(port), ssl=self.client_context, codec=BytesCodec())

    async def _open_stream(self, channel: Channel, address: str) -> Any:
        """
        Connect and open the stream.

        Raise ``PeerUnavailableError`` on a failure or after ``CONNECT_TIMEOUT_S``.
        """
        stream = channel.request(
            SESSION_METHOD, Cardinality.STREAM_STREAM, bytes, bytes
        )
        with trio.move_on_after(CONNECT_TIMEOUT_S) as scope:
            try:
                await aio_as_trio(stream.__aenter__)()
                await aio_as_trio(stream.send_request)()
            except STREAM_ERRORS as error:
                raise PeerUnavailableError(
                    f"cannot connect to peer {address} ({error!r})"
                ) from error
        if scope.cancelled_caught:
            raise PeerUnavailableError(
                f"peer {address} did not reply within {CONNECT_TIMEOUT_S} s"
            )
        return stream


def bind_listener(address: SocketAddress) -> socket.socket:
    """Return a listening socket; raise ``AddressInUseError`` if the bind fails."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address.sockaddr)
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise AddressInUseError(
            f"TCP {address} cannot be bound ({error.strerror}); "
            "stop the process that uses it or choose another address"
        ) from error
    return listener
