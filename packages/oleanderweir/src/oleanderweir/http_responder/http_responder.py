"""Serves GET and HEAD requests, in one task per connection."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import h11
import trio

from oleanderweir.http_responder.http_response import HttpResponse


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping


logger = logging.getLogger(__name__)

CHUNK_BYTES = 16 * 1024
# A connection on which no request completes is closed after this time.
IDLE_TIMEOUT_S = 30.0
NOT_FOUND = HttpResponse(status=404, body=b"not found\n")
NOT_ALLOWED = HttpResponse(status=405, body=b"only GET and HEAD are answered here\n")


class HttpResponder:
    """Serves a few paths; ``handlers`` maps each to the function that responds."""

    def __init__(self, *, handlers: Mapping[str, Callable[[], HttpResponse]]) -> None:
        self.handlers = handlers

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection until it ends."""
        connection = h11.Connection(h11.SERVER)
        try:
            with trio.move_on_after(IDLE_TIMEOUT_S) as idle:
                while await self._serve_request(connection, stream):
                    idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as error:
            logger.info(
                "an HTTP connection was closed because of an error",
                extra={"code": "http_broken", "reason": repr(error)},
            )
        await trio.aclose_forcefully(stream)

    async def _serve_request(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> bool:
        """Serve one request; return whether another may follow."""
        request: h11.Request | None = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(CHUNK_BYTES)
                connection.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        await stream.send_all(self._encode_response(connection, request))
        if connection.our_state is h11.MUST_CLOSE:
            return False
        connection.start_next_cycle()
        return True

    def _encode_response(
        self, connection: h11.Connection, request: h11.Request
    ) -> bytes:
        """Return the bytes of the response to a request."""
        response = self._make_response(request)
        head = h11.Response(
            status_code=response.status,
            headers=[
                ("Content-Type", response.content_type),
                ("Content-Length", str(len(response.body))),
            ],
        )
        events: list[h11.Event] = [head]
        if request.method != b"HEAD":
            events.append(h11.Data(data=response.body))
        events.append(h11.EndOfMessage())
        return b"".join(connection.send(event) or b"" for event in events)

    def _make_response(self, request: h11.Request) -> HttpResponse:
        path = request.target.split(b"?")[0].decode("ascii", "replace")
        handler = self.handlers.get(path)
        if handler is None:
            return NOT_FOUND
        if request.method not in {b"GET", b"HEAD"}:
            return NOT_ALLOWED
        return handler()
