"""The response to a request on its HTTP/3 stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.h3.connection import ErrorCode


if TYPE_CHECKING:
    from oleanderweir_agent.quic.caller_connection import CallerConnection
    from oleanderweir_agent.quic.server_connection import ServerH3Connection
    from oleanderweir_agent.requests import ResponseHead


MAX_BUFFERED_BYTES = 256 * 1024


class StreamResponder:
    """Writes one response to a stream of a caller's connection."""

    def __init__(
        self, *, connection: CallerConnection, h3: ServerH3Connection, stream_id: int
    ) -> None:
        self.connection = connection
        self.h3 = h3
        self.stream_id = stream_id
        self.is_head_sent = False
        self.is_ended = False

    async def send_head(self, head: ResponseHead) -> None:
        """Send the status and header fields."""
        fields = [(b":status", str(head.status).encode())]
        fields += [(header.name, header.value) for header in head.headers]
        self.is_head_sent = True
        self.h3.send_headers(self.stream_id, fields)
        self.connection.wake()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        await self.connection.wait_writable(self.stream_id, MAX_BUFFERED_BYTES)
        self.h3.send_data(self.stream_id, data, end_stream=False)
        self.connection.wake()

    async def finish(self) -> None:
        """Complete the response."""
        self.is_ended = True
        self.h3.send_data(self.stream_id, b"", end_stream=True)
        self.connection.wake()

    def reset(self) -> None:
        """Reset the stream of a request that may have run."""
        self._reset(ErrorCode.H3_INTERNAL_ERROR)

    def reset_rejected(self) -> None:
        """Reset the stream of a request that did not run (RFC 9114, 4.1.1)."""
        self._reset(ErrorCode.H3_REQUEST_REJECTED)

    def _reset(self, code: ErrorCode) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        self.connection.quic.reset_stream(self.stream_id, code)
        self.connection.wake()
