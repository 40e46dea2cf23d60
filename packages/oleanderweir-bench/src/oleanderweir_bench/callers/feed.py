"""A streaming response that is read line by line."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from types import TracebackType

    from oleanderweir_bench.callers.exchange import Exchange


class Feed:
    """
    The lines of a streaming response, which lasts until one endpoint closes it.

    Iterating raises ``CallerError`` if the response is interrupted. Leaving the context
    cancels the request if it is in flight.
    """

    def __init__(
        self, *, exchange: Exchange, cancel: Callable[[Exchange], None]
    ) -> None:
        self.exchange = exchange
        self.cancel = cancel
        self.buffer = b""

    @property
    def status(self) -> int:
        """The status code of the response."""
        return self.exchange.status

    @property
    def headers(self) -> Mapping[str, str]:
        """The header fields of the response."""
        return self.exchange.headers

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> str:
        while b"\n" not in self.buffer:
            chunk = await self.exchange.receive_chunk()
            if not chunk:
                raise StopAsyncIteration
            self.buffer += chunk
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line.decode()

    def close(self) -> None:
        """Cancel the request."""
        self.cancel(self.exchange)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
