"""One request and its response, on one HTTP/1.1 connection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11
import trio

from oleanderweir_agent.backend.exceptions import BackendBrokenError
from oleanderweir_agent.backend.exceptions import InvalidRequestError
from oleanderweir_agent.requests import Header
from oleanderweir_agent.requests import ResponseHead


if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from oleanderweir_agent.requests import Request


BODILESS_STATUSES = frozenset({204, 304})
READ_CHUNK_BYTES = 64 * 1024
MS_PER_S = 1000
OVERWRITTEN_HEADERS = frozenset({b"request-id", b"request-timeout-ms"})
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
HOP_BY_HOP_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS - {b"content-length"}


class BackendExchange:
    """Sends one request and reads its response."""

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)

    async def __aenter__(self) -> BackendExchange:
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close the connection, which also cancels a request in flight."""
        await trio.aclose_forcefully(self.stream)

    def encode(self, request: Request) -> bytes:
        """Return the encoded request; raise ``InvalidRequestError`` if invalid."""
        if request.method == "CONNECT":
            raise InvalidRequestError(
                "the method CONNECT is not supported; use GET or POST"
            )
        try:
            head = h11.Request(
                method=request.method,
                target=request.path,
                headers=_create_header_fields(request),
            )
            events: list[h11.Event] = [head]
            if request.body:
                events.append(h11.Data(data=request.body))
            events.append(h11.EndOfMessage())
            return b"".join(self.http.send(event) or b"" for event in events)
        except h11.LocalProtocolError as error:
            raise InvalidRequestError(
                f"the request can't be sent as HTTP/1.1 ({error}); correct the caller"
            ) from error

    async def send(self, data: bytes) -> None:
        """Send a request; raise ``BackendBrokenError`` if the connection breaks."""
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _create_broken_error() from error

    async def read_head(self) -> ResponseHead:
        """
        Return the head of the response.

        Raise ``BackendBrokenError`` if the exchange fails before a complete head, or if
        the body is delimited only by the close of the connection.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise _create_broken_error()
        if self._is_close_delimited(event):
            raise BackendBrokenError(
                "the response has neither a content length nor chunked encoding, so "
                "truncation can't be detected; have the backend server send one of them"
            )
        return ResponseHead(
            status=event.status_code,
            headers=tuple(
                Header(name=name, value=value)
                for name, value in event.headers
                if name not in HOP_BY_HOP_RESPONSE_HEADERS
            ),
        )

    async def read_body(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts; raise ``BackendBrokenError`` if it is truncated."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise _create_broken_error()
            yield bytes(event.data)

    def _is_close_delimited(self, response: h11.Response) -> bool:
        """Whether the body is delimited only by the close of the connection."""
        if response.status_code in BODILESS_STATUSES or self.http.their_state in {
            h11.DONE,
            h11.MUST_CLOSE,
        }:
            return False
        framing = {b"content-length", b"transfer-encoding"}
        return framing.isdisjoint(name for name, _ in response.headers)

    async def _next_event(self) -> object:
        """
        Return the next event of the response.

        Raise ``BackendBrokenError`` if the connection breaks or sends invalid HTTP.
        """
        while True:
            try:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.stream.receive_some(READ_CHUNK_BYTES)
                self.http.receive_data(bytes(data))
            except (
                h11.RemoteProtocolError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise _create_broken_error() from error


def _create_broken_error() -> BackendBrokenError:
    return BackendBrokenError(
        "the backend server closed the connection early or sent invalid HTTP; look up "
        "the request ID in its ledger"
    )


def _create_header_fields(request: Request) -> list[tuple[bytes, bytes]]:
    """Return the header fields to send, with those that the agent sets itself."""
    authority = b"localhost"
    fields = []
    for header in request.headers:
        if header.name == b":authority":
            authority = header.value
        elif _is_end_to_end(header.name):
            fields.append((header.name, header.value))
    fields.insert(0, (b"host", authority))
    fields.append((b"request-id", request.request_id.encode("latin-1")))
    if math.isfinite(request.deadline):
        remaining_ms = max(0, int((request.deadline - trio.current_time()) * MS_PER_S))
        fields.append((b"request-timeout-ms", str(remaining_ms).encode()))
    if request.body or request.method in {"POST", "PUT", "PATCH"}:
        fields.append((b"content-length", str(len(request.body)).encode()))
    return fields


def _is_end_to_end(name: bytes) -> bool:
    """Whether the agent forwards a header field of the caller unchanged."""
    if name.startswith(b":") or name in OVERWRITTEN_HEADERS:
        return False
    return name not in HOP_BY_HOP_HEADERS
