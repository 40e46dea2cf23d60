"""The requests on the streams of one connection."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived

from oleanderweir_agent.quic.incoming_request import IncomingRequest
from oleanderweir_agent.quic.request_conversion import make_request
from oleanderweir_agent.quic.stream_responder import StreamResponder
from oleanderweir_agent.requests import Header
from oleanderweir_agent.requests import ResponseHead


if TYPE_CHECKING:
    import trio
    from aioquic.h3.events import H3Event

    from oleanderweir.configuration import Service
    from oleanderweir_agent.quic.caller_connection import CallerConnection
    from oleanderweir_agent.quic.server_connection import ServerH3Connection
    from oleanderweir_agent.requests import RequestHandler


logger = logging.getLogger(__name__)


class RequestStreams:
    """
    Assembles the requests of one connection and serves each in its own task.

    ``requests`` contains the requests that are being received or served, by stream ID.
    """

    def __init__(
        self,
        *,
        connection: CallerConnection,
        service: Service,
        handler: RequestHandler,
    ) -> None:
        self.connection = connection
        self.service = service
        self.handler = handler
        self.requests: dict[int, IncomingRequest] = {}

    def handle_event(
        self, event: H3Event, nursery: trio.Nursery, h3: ServerH3Connection
    ) -> None:
        """Assemble requests, and start each one that is complete or too large."""
        if isinstance(event, HeadersReceived):
            h3.record_request(event.stream_id)
            self._begin_request(event)
        elif isinstance(event, DataReceived):
            self._append_body(event)
        else:
            return
        request = self.requests.get(event.stream_id)
        if request is None or request.is_started:
            return
        if event.stream_ended or request.is_too_large:
            request.is_started = True
            responder = StreamResponder(
                connection=self.connection, h3=h3, stream_id=event.stream_id
            )
            nursery.start_soon(self._serve_request, request, responder)

    def cancel_request(self, stream_id: int) -> None:
        """Cancel the task of a request that the caller has cancelled."""
        request = self.requests.get(stream_id)
        if request is not None:
            request.cancel_scope.cancel()

    def _begin_request(self, event: HeadersReceived) -> None:
        """Record the headers of a request; ignore its trailers."""
        if event.stream_id in self.requests:
            return
        self.requests[event.stream_id] = IncomingRequest(
            stream_id=event.stream_id,
            headers=tuple(
                Header(name=name, value=value) for name, value in event.headers
            ),
        )

    def _append_body(self, event: DataReceived) -> None:
        request = self.requests.get(event.stream_id)
        if request is not None and not request.is_started:
            request.body += event.data

    async def _serve_request(
        self, incoming: IncomingRequest, responder: StreamResponder
    ) -> None:
        """Serve one request; reset its stream if the response is incomplete."""
        try:
            with incoming.cancel_scope:
                await self._handle_request(incoming, responder)
        except Exception:
            logger.exception(
                "unexpected error while serving a request", extra={"code": "internal"}
            )
        finally:
            responder.reset()
            self.requests.pop(incoming.stream_id, None)

    async def _handle_request(
        self, incoming: IncomingRequest, responder: StreamResponder
    ) -> None:
        """Pass a request to the handler, or reject it if its body is too large."""
        if incoming.is_too_large:
            await responder.send_head(ResponseHead(status=413, headers=()))
            await responder.finish()
            return
        await self.handler.handle(make_request(incoming, self.service), responder)
