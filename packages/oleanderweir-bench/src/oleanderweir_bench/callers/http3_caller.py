"""An HTTP/3 client over one QUIC connection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Self

import trio
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import ErrorCode
from aioquic.h3.connection import H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import HandshakeCompleted
from aioquic.quic.events import StreamDataReceived
from aioquic.quic.events import StreamReset

from oleanderweir_bench.background_nursery import BackgroundNursery
from oleanderweir_bench.callers.control_stream_reader import ControlStreamReader
from oleanderweir_bench.callers.exceptions import CallerTimeoutError
from oleanderweir_bench.callers.exceptions import SessionClosedError
from oleanderweir_bench.callers.exceptions import SessionLeavingError
from oleanderweir_bench.callers.exchange_table import ExchangeTable
from oleanderweir_bench.callers.feed import Feed
from oleanderweir_bench.callers.quic_session import QuicSession
from oleanderweir_bench.callers.request_fields import make_request_fields


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from types import TracebackType

    from aioquic.quic.events import QuicEvent

    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.callers.exchange import Exchange
    from oleanderweir_bench.callers.response import Response


class Http3Caller:
    """
    A caller with one session.

    ``ca_pem`` holds the trusted certificates, ``server_name`` the name that the
    certificate of the service must contain. Use it as an asynchronous context manager;
    entering raises ``CallerTimeoutError`` or ``SessionClosedError`` if the handshake
    fails.
    """

    def __init__(
        self,
        *,
        address: SocketAddress,
        ca_pem: bytes,
        server_name: str,
        now: Callable[[], float] = trio.current_time,
        connect_timeout_s: float = 5.0,
        idle_timeout_s: float = 60.0,
        local_host: str = "",
    ) -> None:
        self.address = address
        self.server_name = server_name
        self.now = now
        self.connect_timeout_s = connect_timeout_s
        self.session = QuicSession(
            address=address,
            configuration=QuicConfiguration(
                alpn_protocols=H3_ALPN,
                cadata=ca_pem,
                idle_timeout=idle_timeout_s,
                server_name=server_name,
            ),
            local_host=local_host,
            now=now,
        )
        self.session.handle_event = self.handle_event
        self.quic = self.session.quic
        self.http = H3Connection(self.quic)
        self.control_stream = ControlStreamReader()
        self.exchanges = ExchangeTable()
        self.handshake_s = math.nan
        self.goaway_received = trio.Event()
        self.handshake_ended = trio.Event()
        self.close_error: SessionClosedError | None = None

    async def __aenter__(self) -> Self:
        self.background = BackgroundNursery()
        nursery = await self.background.open()
        nursery.start_soon(self.session.run)
        try:
            await self.connect()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Close the connection and stop its task."""
        self.on_connection_closed(
            SessionClosedError(error_code=0, reason="closed by the caller")
        )
        try:
            await self.background.close()
        finally:
            self.session.close(ErrorCode.H3_NO_ERROR)

    async def connect(self) -> None:
        """
        Complete the handshake within ``connect_timeout_s``.

        Raise ``CallerTimeoutError`` or ``SessionClosedError`` if it fails.
        """
        started_at = self.now()
        self.session.connect()
        with trio.move_on_after(self.connect_timeout_s):
            await self.handshake_ended.wait()
        if self.close_error is not None:
            raise self.close_error
        if not self.handshake_ended.is_set():
            raise CallerTimeoutError(
                f"no handshake with {self.address} within {self.connect_timeout_s} s; "
                "check that a balancer receives packets for this address"
            )
        self.handshake_s = self.now() - started_at

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Response:
        """
        Send a request and return its complete response.

        Raise ``CallerError`` if the request is rejected or its response is cut short or
        late. A request that times out is also cancelled at the service.
        """
        exchange = self.start_exchange(method, path, headers or {}, body)
        try:
            with trio.fail_after(timeout_s):
                return await exchange.read_response()
        except trio.TooSlowError:
            raise CallerTimeoutError(
                f"no complete response to {method} {path} within {timeout_s} s; "
                "the request may have run"
            ) from None
        finally:
            self.cancel(exchange)

    async def open_feed(
        self,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Feed:
        """Open a feed; raise ``CallerError`` if its header section is not received."""
        exchange = self.start_exchange("GET", path, headers or {}, b"")
        try:
            with trio.fail_after(timeout_s):
                await exchange.wait_headers()
        except trio.TooSlowError:
            self.cancel(exchange)
            raise CallerTimeoutError(
                f"no header section for {path} within {timeout_s} s; try again"
            ) from None
        except BaseException:
            self.cancel(exchange)
            raise
        return Feed(exchange=exchange, cancel=self.cancel)

    def start_exchange(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Exchange:
        """
        Send a request on a new stream.

        Raise ``SessionClosedError`` or ``SessionLeavingError`` if the session accepts
        no new requests.
        """
        if self.close_error is not None:
            raise self.close_error
        if self.goaway_received.is_set():
            raise SessionLeavingError(
                "the service sent GOAWAY and accepts no new requests; "
                "open another session"
            )
        stream_id = self.quic.get_next_available_stream_id()
        exchange = self.exchanges.open(stream_id, self.now())
        fields = make_request_fields(
            method=method, path=path, authority=self.server_name, headers=headers
        )
        self.http.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        self.session.transmit()
        return exchange

    def cancel(self, exchange: Exchange) -> None:
        """Cancel a request in flight; ignore a completed one."""
        self.exchanges.remove(exchange)
        if exchange.is_closed:
            return
        exchange.reset(ErrorCode.H3_REQUEST_CANCELLED)
        self.quic.reset_stream(exchange.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        self.quic.stop_stream(exchange.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        self.session.transmit()

    def handle_event(self, event: QuicEvent) -> None:
        """Process a QUIC event and the HTTP/3 events that result from it."""
        self.handle_quic_event(event)
        for http_event in self.http.handle_event(event):
            self.exchanges.receive(http_event)

    def handle_quic_event(self, event: QuicEvent) -> None:
        """Process the QUIC events that concern the connection or reset a stream."""
        if isinstance(event, HandshakeCompleted):
            self.handshake_ended.set()
        elif isinstance(event, StreamDataReceived):
            self.control_stream.receive(event.stream_id, event.data)
            if self.control_stream.goaway_stream_id is not None:
                self.goaway_received.set()
        elif isinstance(event, StreamReset):
            self.exchanges.reset(event.stream_id, event.error_code)
        elif isinstance(event, ConnectionTerminated):
            self.on_connection_closed(
                SessionClosedError(
                    error_code=event.error_code, reason=event.reason_phrase
                )
            )

    def on_connection_closed(self, error: SessionClosedError) -> None:
        """Record the close of the connection and finish all requests with ``error``."""
        if self.close_error is None:
            self.close_error = error
        self.session.is_terminated = True
        self.handshake_ended.set()
        self.exchanges.fail_all(error)
