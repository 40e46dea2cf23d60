"""Runs a packet-forwarding process: peers, published state, probes, signals."""

from __future__ import annotations

import logging
import signal
import time
from functools import partial
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import StateFollower
from oleanderweir.desired_state import Topic
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.http_responder import HttpResponder
from oleanderweir.http_responder import HttpResponse
from oleanderweir.peering import InvalidMessageError
from oleanderweir.peering import StateServer
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import StateUpdate


if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir.desired_state import Changes
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.desired_state import StateSource
    from oleanderweir.event_log import EventCounters
    from oleanderweir.net import SocketAddress
    from oleanderweir.net import UdpSocket
    from oleanderweir.packet_process.packet_program import PacketProgram
    from oleanderweir.packet_process.process_addresses import ProcessAddresses
    from oleanderweir.peering import HeartbeatSender
    from oleanderweir.peering.messages import Message


logger = logging.getLogger(__name__)

READY = HttpResponse(status=200, body=b"ready\n")
NOT_READY = HttpResponse(status=503, body=b"not ready\n")
LISTEN_BACKLOG = 64
# How often the settings are reloaded without a signal.
RELOAD_INTERVAL_S = 2.0
# The machine was suspended if the clock that counts suspended time gains more than this
# on the monotonic clock between two checks.
MIN_SUSPENSION_S = 0.5
CLOCK_CHECK_INTERVAL_S = 1.0


class ProcessRuntime:
    """
    Runs a program together with the tasks and listeners that every process needs.

    After the first SIGTERM the process reports that it isn't ready, and stops once the
    program has drained; a second SIGTERM stops it at once. The settings are reloaded
    on SIGHUP and every ``RELOAD_INTERVAL_S``.
    """

    def __init__(
        self,
        *,
        addresses: ProcessAddresses,
        source: StateSource,
        register: StateRegister,
        peer_socket: UdpSocket,
        heartbeat_sender: HeartbeatSender,
        counters: EventCounters,
        read_seeds: Callable[[], tuple[str, ...]],
        random_source: random.Random,
    ) -> None:
        self.addresses = addresses
        self.register = register
        self.peer_socket = peer_socket
        self.heartbeat_sender = heartbeat_sender
        self.counters = counters
        self.read_seeds = read_seeds
        # All processes watch the desired state, only readers the backend servers.
        statuses = {
            Topic.DESIRED_STATE: ReaderStatus(),
            Topic.BACKEND_SERVERS: heartbeat_sender.status,
        }
        self.followers = [
            StateFollower(
                topic=topic,
                source=source,
                register=register,
                status=status,
                on_changes=self._send_changes,
                random_source=random_source,
            )
            for topic, status in statuses.items()
        ]
        for follower in self.followers:
            follower.on_watch_lost = self._interrupt_watches
        self.program: PacketProgram | None = None
        self.is_stopping = False
        self.nursery: trio.Nursery | None = None

    async def run(self, program: PacketProgram) -> None:
        """Serve until a signal stops the process."""
        self.program = program
        self.heartbeat_sender.holds_no_flows = lambda: program.holds_no_flows
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await nursery.start(program.run)
                for follower in self.followers:
                    nursery.start_soon(follower.run)
                nursery.start_soon(self._receive_messages)
                nursery.start_soon(self.heartbeat_sender.run)
                await self._listen(nursery)
                nursery.start_soon(self._handle_signals, signals)
                nursery.start_soon(self._watch_settings)
                nursery.start_soon(self._watch_clock)
                logger.info(
                    "started",
                    extra={"code": "started", "cpu_s": round(time.process_time(), 3)},
                )

    def _interrupt_watches(self) -> None:
        """Check the watches of all topics, after one was lost."""
        for follower in self.followers:
            follower.interrupt_watch()

    def on_state_change(self, topic: Topic) -> None:
        """Notify the program of a change, and send heartbeats to new hosts in it."""
        if self.program is not None:
            self.program.on_state_change(topic)
            self.heartbeat_sender.discover_peers()

    def _send_changes(self, changes: Changes, base: int) -> None:
        self.heartbeat_sender.synchronizer.send_changes(changes, base=base)

    # Sockets

    async def _listen(self, nursery: trio.Nursery) -> None:
        """Listen on the TCP ports for probes, metrics and peers."""
        probes = HttpResponder(
            handlers={self.addresses.readiness_path: self._report_readiness}
        )
        metrics = HttpResponder(
            handlers={self.addresses.metrics_path: self._report_metrics}
        )
        state_server = StateServer(register=self.register)
        await self._listen_at(self.addresses.readiness, probes.serve, nursery)
        await self._listen_at(self.addresses.metrics, metrics.serve, nursery)
        await self._listen_at(self.addresses.peer, state_server.serve, nursery)

    async def _listen_at(
        self,
        address: SocketAddress,
        serve: Callable[[trio.SocketStream], Awaitable[None]],
        nursery: trio.Nursery,
    ) -> None:
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(address.sockaddr)
        listener.listen(LISTEN_BACKLOG)
        listeners = [trio.SocketListener(listener)]
        nursery.start_soon(partial(trio.serve_listeners, serve, listeners))

    async def _receive_messages(self) -> None:
        """Receive, decode and dispatch the datagrams of peers."""
        while True:
            for datagram in await self.peer_socket.receive_batch():
                host = datagram.source[0]
                try:
                    message = decode_message(datagram.data)
                except InvalidMessageError as error:
                    logger.warning(
                        "could not decode a datagram from a peer; check its version",
                        extra={"code": error.code, "peer": host},
                    )
                    continue
                self._dispatch(host, message)

    def _dispatch(self, host: str, message: Message) -> None:
        if self.program is None or self.nursery is None:
            return
        if isinstance(message, Heartbeat):
            self.heartbeat_sender.on_heartbeat(host, message, self.nursery)
        elif isinstance(message, StateUpdate):
            self.heartbeat_sender.synchronizer.on_state_update(
                host, message, self.nursery
            )
        elif isinstance(message, Departure):
            self.heartbeat_sender.members.record_departure(host)
            logger.info("peer left", extra={"code": "peer_departed", "peer": host})
        else:
            self.heartbeat_sender.members.record_activity(host)
            self.program.on_message(host, message)

    def _report_readiness(self) -> HttpResponse:
        if self.is_stopping or self.program is None or not self.program.is_ready:
            return NOT_READY
        return READY

    def _report_metrics(self) -> HttpResponse:
        # Imported on the first request: the library would double the start-up time.
        from oleanderweir.packet_process.metrics_page import make_metrics_page  # noqa: PLC0415

        return make_metrics_page(self.counters)

    # Signals, settings, clocks

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            name = signal.Signals(number).name
            logger.info("received a signal", extra={"code": "signal", "signal": name})
            if number == signal.SIGHUP:
                self.reload()
            elif self.is_stopping:
                self._stop()
            else:
                self.is_stopping = True
                self._start_drain()

    def _start_drain(self) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(self._drain)

    async def _drain(self) -> None:
        if self.program is not None:
            await self.program.drain()
        logger.info("stopped", extra={"code": "stopped"})
        self._stop()

    def _stop(self) -> None:
        if self.nursery is not None:
            self.nursery.cancel_scope.cancel()

    async def _watch_settings(self) -> None:
        """Reload the settings periodically, since a signal may never be sent."""
        while True:
            await trio.sleep(RELOAD_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Apply changed seeds from the settings."""
        try:
            seeds = self.read_seeds()
        except OleanderweirError as error:
            logger.warning(
                "could not reload the settings; the previous ones stay in force",
                extra={"code": "reload_failed", "reason": repr(error)},
            )
            return
        if seeds != self.heartbeat_sender.seeds:
            self.heartbeat_sender.seeds = seeds
            logger.info(
                "seeds changed", extra={"code": "reloaded", "seeds": list(seeds)}
            )

    async def _watch_clock(self) -> None:
        """Log each suspension of the machine: the process has stale state after it."""
        skew = _boot_time_s() - time.monotonic()
        while True:
            await trio.sleep(CLOCK_CHECK_INTERVAL_S)
            now_skew = _boot_time_s() - time.monotonic()
            if now_skew - skew > MIN_SUSPENSION_S:
                logger.warning(
                    "the machine was suspended",
                    extra={"code": "suspended", "for_s": round(now_skew - skew, 3)},
                )
            skew = now_skew


def _boot_time_s() -> float:
    """Return the time since boot in seconds, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
