"""The stream of a peer session over gRPC."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from h2.exceptions import H2Error
from trio_asyncio import aio_as_trio

from oleanderweir.replication.exceptions import PeerClosedError


if TYPE_CHECKING:
    from collections.abc import Awaitable


STREAM_ERRORS = (GRPCError, H2Error, OSError, ProtocolError, StreamTerminatedError)


class GrpcStream(Protocol):
    """The methods that client and server streams of grpclib share."""

    def send_message(self, message: bytes) -> Awaitable[None]:
        """Send one message."""

    def recv_message(self) -> Awaitable[bytes | None]:
        """Return the next message, or ``None`` at the end of the stream."""


@attrs.define(kw_only=True, eq=False)
class GrpcPeerStream:
    """Sends and receives from trio on a bidirectional gRPC stream."""

    stream: GrpcStream

    async def send(self, data: bytes) -> None:
        """Send an encoded message; raise ``PeerClosedError`` on a closed stream."""
        try:
            await aio_as_trio(self.stream.send_message)(data)
        except STREAM_ERRORS as error:
            raise make_closed_error(error) from error

    async def receive(self) -> bytes:
        """Return the next message; raise ``PeerClosedError`` on a closed stream."""
        try:
            data: bytes | None = await aio_as_trio(self.stream.recv_message)()
        except STREAM_ERRORS as error:
            raise make_closed_error(error) from error
        if data is None:
            raise PeerClosedError("the peer closed the session")
        return data


def make_closed_error(error: BaseException) -> PeerClosedError:
    """Return the error of a session whose connection failed."""
    return PeerClosedError(f"the connection of the session failed ({error!r})")
