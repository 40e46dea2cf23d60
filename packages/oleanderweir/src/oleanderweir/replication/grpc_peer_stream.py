"""A session's stream over gRPC."""

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
    """What the client's and the server's streams have in common."""

    def send_message(self, message: bytes) -> Awaitable[None]:
        """Send one message."""

    def recv_message(self) -> Awaitable[bytes | None]:
        """Return the next message, or ``None`` at the end."""


@attrs.define(kw_only=True, eq=False)
class GrpcPeerStream:
    """Sends and receives on a bidirectional gRPC stream, called from trio."""

    stream: GrpcStream

    async def send(self, data: bytes) -> None:
        """Send an encoded message; raise ``PeerClosedError`` when the peer is gone."""
        try:
            await aio_as_trio(self.stream.send_message)(data)
        except STREAM_ERRORS as error:
            raise make_closed_error(error) from error

    async def receive(self) -> bytes:
        """Return the next message; raise ``PeerClosedError`` at the end."""
        try:
            data: bytes | None = await aio_as_trio(self.stream.recv_message)()
        except STREAM_ERRORS as error:
            raise make_closed_error(error) from error
        if data is None:
            raise PeerClosedError("the peer ended the session")
        return data


def make_closed_error(error: BaseException) -> PeerClosedError:
    """Return the error of a session that a failure ended."""
    return PeerClosedError(f"the session was cut off ({error!r})")
