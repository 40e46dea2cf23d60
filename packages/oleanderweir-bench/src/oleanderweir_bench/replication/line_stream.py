"""Splits a byte stream into lines."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import trio


async def read_lines(stream: trio.abc.ReceiveStream) -> AsyncIterator[bytes]:
    """Yield each complete line, without its line feed, until the stream ends."""
    buffer = bytearray()
    async for chunk in stream:
        buffer += chunk
        while (end := buffer.find(b"\n")) >= 0:
            yield bytes(buffer[:end])
            del buffer[: end + 1]
