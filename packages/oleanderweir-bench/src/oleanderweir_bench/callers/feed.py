"""A long answer that is read line by line."""

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
    The lines of an answer that goes on until one side ends it.

    Iterating raises ``CallerError`` when the feed breaks. Leaving the context cancels
    what is still running.
    """

    def __init__(
        self, *, exchange: Exchange, cancel: Callable[[Exchange], None]
    ) -> None:
        self.exchange = exchange
        self.cancel = cancel
        self.buffer = b""

    @property
    def status(self) -> int:
        """The status of the answer."""
        return self.exchange.status

    @property
    def headers(self) -> Mapping[str, str]:
        """The header section of the answer."""
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
        """Cancel the feed."""
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
