"""The connection of one caller and the task that drives it."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import trio
from aioquic.quic.events import ConnectionIdIssued
from aioquic.quic.events import ConnectionIdRetired
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import ProtocolNegotiated
from aioquic.quic.events import QuicEvent
from aioquic.quic.events import StopSendingReceived
from aioquic.quic.events import StreamReset

from oleanderweir_agent.quic.inbound_datagram import InboundDatagram
from oleanderweir_agent.quic.request_streams import RequestStreams
from oleanderweir_agent.quic.server_connection import ServerH3Connection


if TYPE_CHECKING:
    from oleanderweir.configuration import Service
    from oleanderweir_agent.quic.connection_table import ConnectionTable
    from oleanderweir_agent.quic.packet_sender import PacketSender
    from oleanderweir_agent.quic.return_path import ReturnPath
    from oleanderweir_agent.quic.server_connection import ServerConnection
    from oleanderweir_agent.requests import RequestHandler


MAX_INBOUND_DATAGRAMS = 512


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
        table: ConnectionTable,
        sender: PacketSender,
        handler: RequestHandler,
    ) -> None:
        self.quic = quic
        self.service_address = quic.service
        self.return_path = return_path
        self.table = table
        self.sender = sender
        self.streams = RequestStreams(connection=self, service=service, handler=handler)
        self.h3: ServerH3Connection | None = None
        self.inbound: deque[InboundDatagram] = deque(maxlen=MAX_INBOUND_DATAGRAMS)
        self.connection_ids: set[bytes] = set()
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
            self.sender.send(
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
            self.table.add_connection_id(event.connection_id, self)
        elif isinstance(event, ConnectionIdRetired):
            self.table.remove_connection_id(event.connection_id)
        elif isinstance(event, ConnectionTerminated):
            self.is_terminated = True
        elif isinstance(event, StreamReset | StopSendingReceived):
            self.streams.cancel_request(event.stream_id)
        elif isinstance(event, ProtocolNegotiated):
            self.h3 = ServerH3Connection(quic=self.quic)
        elif self.h3 is not None:
            for h3_event in self.h3.handle_event(event):
                self.streams.handle_event(h3_event, nursery, self.h3)
