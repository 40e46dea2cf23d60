"""The requests in flight of one session."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived

from oleanderweir_bench.callers.exchange import Exchange


if TYPE_CHECKING:
    from aioquic.h3.events import H3Event

    from oleanderweir_bench.callers.exceptions import CallerError


@attrs.define(kw_only=True, eq=False)
class ExchangeTable:
    """Dispatches the parts of responses to the requests by stream identifier."""

    exchanges: dict[int, Exchange] = attrs.field(factory=dict)

    def open(self, stream_id: int, started_at: float) -> Exchange:
        """Add and return the exchange of a new request."""
        exchange = Exchange(stream_id=stream_id, started_at=started_at)
        self.exchanges[stream_id] = exchange
        return exchange

    def remove(self, exchange: Exchange) -> None:
        """Remove a request; later parts of its response are ignored."""
        self.exchanges.pop(exchange.stream_id, None)

    def reset(self, stream_id: int, reset_code: int) -> None:
        """Finish the request whose stream the server has reset."""
        exchange = self.exchanges.get(stream_id)
        if exchange is not None:
            exchange.reset(reset_code)

    def receive(self, event: H3Event) -> None:
        """Dispatch a part of a response to its request."""
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None:
            return
        if isinstance(event, HeadersReceived):
            exchange.receive_headers(event.headers)
        else:
            exchange.receive_data(event.data)
        if event.stream_ended:
            exchange.close()

    def fail_all(self, error: CallerError) -> None:
        """Finish all requests with ``error``."""
        for exchange in self.exchanges.values():
            exchange.close(error)
