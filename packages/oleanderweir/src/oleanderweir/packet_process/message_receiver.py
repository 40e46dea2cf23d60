"""Receives the messages of peers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.peering import InvalidMessageError
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import StateUpdate


if TYPE_CHECKING:
    import trio

    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket
    from oleanderweir.packet_process.clock_watch import ClockWatch
    from oleanderweir.packet_process.packet_program import PacketProgram
    from oleanderweir.peering import HeartbeatSender
    from oleanderweir.peering.messages import Message


logger = logging.getLogger(__name__)


class MessageReceiver:
    """
    Decodes the datagrams of peers, and dispatches their messages.

    Confirmations that waited in the socket while this process stood still are ignored:
    they say nothing of the time in which it didn't run.
    """

    def __init__(
        self,
        *,
        peer_socket: UdpSocket,
        heartbeat_sender: HeartbeatSender,
        program: PacketProgram,
        nursery: trio.Nursery,
        clock_watch: ClockWatch,
    ) -> None:
        self.peer_socket = peer_socket
        self.heartbeat_sender = heartbeat_sender
        self.program = program
        self.nursery = nursery
        self.clock_watch = clock_watch
        self.barrier = ErrorBarrier(place="peer_datagram")

    async def run(self) -> None:
        """Receive, decode and dispatch the datagrams until cancelled."""
        while True:
            batch = await self.peer_socket.receive_batch()
            is_backlog = self.clock_watch.check()
            self._process(batch, is_backlog=is_backlog)

    def process_backlog(self) -> None:
        """Process the datagrams that waited while this process stood still."""
        self._process(self.peer_socket.read_backlog(), is_backlog=True)

    def _process(self, batch: list[Datagram], *, is_backlog: bool) -> None:
        for datagram in batch:
            with self.barrier:
                self._on_datagram(datagram, is_backlog=is_backlog)

    def _on_datagram(self, datagram: Datagram, *, is_backlog: bool) -> None:
        """Decode and dispatch one datagram."""
        host = datagram.source[0]
        try:
            message = decode_message(datagram.data)
        except InvalidMessageError as error:
            logger.warning(
                "could not decode a datagram from a peer; check its version",
                extra={"code": error.code, "peer": host},
            )
        else:
            if not (is_backlog and isinstance(message, Confirmation)):
                self._dispatch(host, message)

    def _dispatch(self, host: str, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self.heartbeat_sender.on_heartbeat(host, message, self.nursery)
        elif isinstance(message, StateUpdate):
            self.heartbeat_sender.synchronizer.on_state_update(
                host, message, self.nursery
            )
        elif isinstance(message, Confirmation):
            self.heartbeat_sender.on_confirmation(host, message, self.nursery)
        elif isinstance(message, Departure):
            self.heartbeat_sender.members.record_departure(host)
            logger.info("peer left", extra={"code": "peer_departed", "peer": host})
        else:
            self.heartbeat_sender.members.record_activity(host)
            self.program.on_message(host, message)
