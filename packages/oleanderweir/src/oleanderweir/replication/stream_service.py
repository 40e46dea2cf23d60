"""A gRPC service with one bidirectional stream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
from grpclib.const import Cardinality
from grpclib.const import Handler
from trio_asyncio import trio_as_aio

from oleanderweir.replication.grpc_peer_stream import GrpcPeerStream


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir.replication.peer_stream import PeerStream


@attrs.define(kw_only=True, eq=False)
class StreamService:
    """
    Calls a trio handler for each stream that a peer opens.

    ``method`` is the path of the gRPC method.
    """

    method: str
    handler: Callable[[PeerStream], Awaitable[None]]

    async def run(self, stream: Any) -> None:
        """Run one stream; called from asyncio by the gRPC server."""
        await trio_as_aio(self.handler)(GrpcPeerStream(stream=stream))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers of the service by gRPC method, as grpclib requires."""
        handler = Handler(self.run, Cardinality.STREAM_STREAM, bytes, bytes)
        return {self.method: handler}
