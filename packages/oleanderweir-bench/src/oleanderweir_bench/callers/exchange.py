"""One request and its response, as far as received."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.callers.exceptions import RequestResetError
from oleanderweir_bench.callers.response import Response


if TYPE_CHECKING:
    from collections.abc import Mapping

    from oleanderweir_bench.callers.exceptions import CallerError


def open_chunk_channel() -> tuple[
    trio.MemorySendChannel[bytes], trio.MemoryReceiveChannel[bytes]
]:
    """Return an unbounded channel for body chunks; QUIC's flow control limits it."""
    return trio.open_memory_channel[bytes](math.inf)


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """
    A request and its response on one stream.

    The task of the session writes the response; the task of the request reads it.
    ``headers_received`` is also set when the response ends without a header section.
    """

    stream_id: int
    started_at: float
    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    is_closed: bool = False
    error: CallerError | None = None
    headers_received: trio.Event = attrs.field(factory=trio.Event)
    chunk_channel: tuple[
        trio.MemorySendChannel[bytes], trio.MemoryReceiveChannel[bytes]
    ] = attrs.field(factory=open_chunk_channel)

    def receive_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Store the header section of the response; add trailers to it."""
        fields = {name.decode(): value.decode() for name, value in headers}
        if not self.headers_received.is_set():
            self.status = int(fields.pop(":status", "0"))
        self.headers = {**self.headers, **fields}
        self.headers_received.set()

    def receive_data(self, data: bytes) -> None:
        """Queue the next bytes of the response body."""
        if data and not self.is_closed:
            self.chunk_channel[0].send_nowait(data)

    def close(self, error: CallerError | None = None) -> None:
        """Finish the response; ``error`` is the reason why it is incomplete."""
        if self.is_closed:
            return
        self.is_closed = True
        self.error = error
        self.headers_received.set()
        self.chunk_channel[0].close()

    def reset(self, reset_code: int) -> None:
        """Finish the response after the server has reset the stream."""
        self.close(RequestResetError(reset_code=reset_code))

    async def wait_headers(self) -> None:
        """Wait for the header section; raise ``CallerError`` if it is not received."""
        await self.headers_received.wait()
        if self.error is not None and not self.status:
            raise self.error

    async def receive_chunk(self) -> bytes:
        """
        Return the next bytes of the body; empty at its end.

        Raise ``CallerError`` if the response is cut short.
        """
        try:
            return await self.chunk_channel[1].receive()
        except trio.EndOfChannel:
            if self.error is not None:
                raise self.error from None
            return b""

    async def read_response(self) -> Response:
        """Return the complete response; raise ``CallerError`` if it is cut short."""
        await self.wait_headers()
        parts = []
        while chunk := await self.receive_chunk():
            parts.append(chunk)
        return Response(
            status=self.status,
            headers=self.headers,
            body=b"".join(parts),
            elapsed_s=trio.current_time() - self.started_at,
        )
