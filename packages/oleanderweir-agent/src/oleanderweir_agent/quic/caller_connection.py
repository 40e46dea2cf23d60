"""The connection of one caller and the task that drives it."""

from __future__ import annotations

import logging
import math
import uuid
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

import attrs
import trio
from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived
from aioquic.quic.events import ConnectionIdIssued
from aioquic.quic.events import ConnectionIdRetired
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import ProtocolNegotiated
from aioquic.quic.events import QuicEvent
from aioquic.quic.events import StopSendingReceived
from aioquic.quic.events import StreamReset

from oleanderweir_agent.quic.incoming_request import IncomingRequest
from oleanderweir_agent.quic.server_connection import ServerH3Connection
from oleanderweir_agent.quic.stream_responder import StreamResponder
from oleanderweir_agent.requests import Header
from oleanderweir_agent.requests import Request
from oleanderweir_agent.requests import ResponseHead


if TYPE_CHECKING:
    from aioquic.h3.events import H3Event

    from oleanderweir.configuration import Service
    from oleanderweir_agent.quic.return_path import ReturnPath
    from oleanderweir_agent.quic.server_connection import ServerConnection
    from oleanderweir_agent.requests import RequestHandler


logger = logging.getLogger(__name__)

MAX_INBOUND_DATAGRAMS = 512
TIMEOUT_HEADER = b"request-timeout-ms"
REQUEST_ID_HEADER = b"request-id"
MS_PER_S = 1000


@attrs.define(kw_only=True)
class InboundDatagram:
    """A datagram and its caller as a ``(host, port)`` pair."""

    data: bytes
    caller: tuple[str, int]


class ConnectionTransport(Protocol):
    """Registers connection IDs and sends packets for a connection."""

    def add_connection_id(
        self, connection_id: bytes, connection: CallerConnection
    ) -> None:
        """Deliver packets with this connection ID to the connection."""

    def remove_connection_id(self, connection_id: bytes) -> None:
        """Stop delivering packets with this connection ID."""

    def send(
        self,
        *,
        data: bytes,
        caller: tuple[str, int],
        service: bytes,
        balancer: tuple[str, int],
    ) -> None:
        """Send a packet to a caller through a balancer."""


class CallerConnection:
    """
    The server side of one caller's session.

    ``run`` is the connection's task. Only this task passes packets to and from the
    QUIC state. Request tasks write to streams and wake it.
    """

    def __init__(
        self,
        *,
        quic: ServerConnection,
        service: Service,
        return_path: ReturnPath,
        transport: ConnectionTransport,
        handler: RequestHandler,
    ) -> None:
        self.quic = quic
        self.service = service
        self.service_address = quic.service
        self.return_path = return_path
        self.transport = transport
        self.handler = handler
        self.h3: ServerH3Connection | None = None
        self.inbound: deque[InboundDatagram] = deque(maxlen=MAX_INBOUND_DATAGRAMS)
        self.connection_ids: set[bytes] = set()
        self.requests: dict[int, IncomingRequest] = {}
        self.is_terminated = False
        self.wakeup = trio.Event()
        self.input_processed = trio.Event()

    def deliver(self, data: bytes, caller: tuple[str, int]) -> None:
        """Queue a packet of the caller; a full queue drops its oldest packet."""
        self.inbound.append(InboundDatagram(data=data, caller=caller))
        self.wakeup.set()

    def wake(self) -> None:
        """Wake the connection's task so that it sends pending data."""
        self.wakeup.set()

    async def wait_writable(self, stream_id: int, limit_bytes: int) -> None:
        """Wait until fewer than ``limit_bytes`` are buffered on a stream."""
        while self.quic.buffered_bytes(stream_id) >= limit_bytes:
            await self.input_processed.wait()

    def send_goaway(self) -> None:
        """Send GOAWAY; the caller sends further requests on another connection."""
        if self.h3 is not None:
            self.h3.send_goaway()
            self.wake()

    def close(self, *, reason: str) -> None:
        """Close the connection gracefully."""
        self.quic.close(error_code=0x100, reason_phrase=reason)
        self.wake()

    async def run(self) -> None:
        """Drive the connection until it terminates."""
        async with trio.open_nursery() as nursery:
            self._step(nursery)
            while not self.is_terminated:
                await self._wait()
                self._step(nursery)
            nursery.cancel_scope.cancel()

    def _step(self, nursery: trio.Nursery) -> None:
        """Process received packets, handle their events and send pending packets."""
        self._receive()
        self._handle_events(nursery)
        self._transmit()

    async def _wait(self) -> None:
        """Wait for a packet, for output of a request, or for the QUIC timer."""
        timer = self.quic.get_timer()
        with trio.move_on_at(math.inf if timer is None else timer):
            await self.wakeup.wait()
        self.wakeup = trio.Event()

    def _receive(self) -> None:
        """Pass queued packets and an expired timer to QUIC."""
        now = trio.current_time()
        while self.inbound:
            datagram = self.inbound.popleft()
            self.quic.receive_datagram(datagram.data, datagram.caller, now)
        timer = self.quic.get_timer()
        if timer is not None and timer <= now:
            self.quic.handle_timer(now)
        self.input_processed.set()
        self.input_processed = trio.Event()

    def _transmit(self) -> None:
        """Send one burst through the balancer that the return path selects."""
        datagrams = self.quic.datagrams_to_send(trio.current_time())
        if datagrams and self.quic.probe_count > 0:
            # Switch on each burst instead of each probe: new data postpones probes.
            self.return_path.on_unacknowledged_burst()
        for data, caller in datagrams:
            self.transport.send(
                data=data,
                caller=caller,
                service=self.service_address,
                balancer=self.return_path.balancer,
            )

    def _handle_events(self, nursery: trio.Nursery) -> None:
        """Handle the events that QUIC reports."""
        event = self.quic.next_event()
        while event is not None:
            self._handle_event(event, nursery)
            event = self.quic.next_event()

    def _handle_event(self, event: QuicEvent, nursery: trio.Nursery) -> None:
        if isinstance(event, ConnectionIdIssued):
            self.transport.add_connection_id(event.connection_id, self)
        elif isinstance(event, ConnectionIdRetired):
            self.transport.remove_connection_id(event.connection_id)
        elif isinstance(event, ConnectionTerminated):
            self.is_terminated = True
        elif isinstance(event, StreamReset | StopSendingReceived):
            self._cancel_request(event.stream_id)
        elif isinstance(event, ProtocolNegotiated):
            self.h3 = ServerH3Connection(quic=self.quic)
        elif self.h3 is not None:
            for h3_event in self.h3.handle_event(event):
                self._handle_h3_event(h3_event, nursery, self.h3)

    def _handle_h3_event(
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
                connection=self, h3=h3, stream_id=event.stream_id
            )
            nursery.start_soon(self._serve_request, request, responder)

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

    def _cancel_request(self, stream_id: int) -> None:
        """Cancel the task of a request that the caller has cancelled."""
        request = self.requests.get(stream_id)
        if request is not None:
            request.cancel_scope.cancel()

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
        if incoming.is_too_large:
            await responder.send_head(ResponseHead(status=413, headers=()))
            await responder.finish()
            return
        await self.handler.handle(self._make_request(incoming), responder)

    def _make_request(self, incoming: IncomingRequest) -> Request:
        """Return the request received on a stream."""
        path = (incoming.first(b":path") or b"/").decode("latin-1")
        is_feed = path.startswith(self.service.feed_paths)
        request_id = incoming.first(REQUEST_ID_HEADER)
        return Request(
            request_id=(
                request_id.decode("latin-1") if request_id else uuid.uuid4().hex
            ),
            method=(incoming.first(b":method") or b"GET").decode("latin-1"),
            path=path,
            headers=incoming.headers,
            body=bytes(incoming.body),
            arrived_at=trio.current_time(),
            deadline=math.inf if is_feed else self._deadline(incoming),
            is_feed=is_feed,
        )

    def _deadline(self, incoming: IncomingRequest) -> float:
        """Return the deadline of a request, in seconds of trio's clock."""
        timeout_s = self.service.request_timeout_s
        text = incoming.first(TIMEOUT_HEADER)
        if text is not None and text.isdigit():
            timeout_s = min(timeout_s, int(text) / MS_PER_S)
        return trio.current_time() + timeout_s
