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
from oleanderweir.http_responder import HttpAnswer
from oleanderweir.http_responder import HttpResponder
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

READY = HttpAnswer(status=200, body=b"ready\n")
NOT_READY = HttpAnswer(status=503, body=b"not ready\n")
LISTEN_BACKLOG = 64
# How often the settings are read again without a signal.
RELOAD_INTERVAL_S = 2.0
# A clock that runs through a suspension may be ahead of the steady one by this much
# before the process takes itself as suspended.
SUSPENSION_S = 0.5
CLOCK_CHECK_INTERVAL_S = 1.0


class ProcessRuntime:
    """
    Joins a program with what every process needs.

    The first SIGTERM makes the process say that it isn't ready; it ends once the
    program has drained. SIGHUP, or time, has the settings read again.
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
        # Every process reads the desired state itself; a few read the backend servers.
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
                on_changes=self._pass_changes_on,
                random_source=random_source,
            )
            for topic, status in statuses.items()
        ]
        self.program: PacketProgram | None = None
        self.is_stopping = False
        self.nursery: trio.Nursery | None = None

    async def run(self, program: PacketProgram) -> None:
        """Serve until a signal ends the process."""
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
                nursery.start_soon(self._follow_signals, signals)
                nursery.start_soon(self._watch_settings)
                nursery.start_soon(self._watch_clock)
                logger.info(
                    "started",
                    extra={"code": "started", "cpu_s": round(time.process_time(), 3)},
                )

    def on_state_change(self, topic: Topic) -> None:
        """Pass a change of the published state on, and greet who is new in it."""
        if self.program is not None:
            self.program.on_state_change(topic)
            self.heartbeat_sender.discover_peers()

    def _pass_changes_on(self, changes: Changes, base: int) -> None:
        self.heartbeat_sender.send_changes(changes, base=base)

    # Sockets

    async def _listen(self, nursery: trio.Nursery) -> None:
        """Open the TCP ports for probes, metrics and peers."""
        probes = HttpResponder(
            answers={self.addresses.readiness_path: self._answer_readiness}
        )
        metrics = HttpResponder(
            answers={self.addresses.metrics_path: self._answer_metrics}
        )
        states = StateServer(register=self.register)
        await self._listen_at(self.addresses.readiness, probes.serve, nursery)
        await self._listen_at(self.addresses.metrics, metrics.serve, nursery)
        await self._listen_at(self.addresses.peer, states.serve, nursery)

    async def _listen_at(
        self,
        address: SocketAddress,
        serve: Callable[[trio.SocketStream], Awaitable[None]],
        nursery: trio.Nursery,
    ) -> None:
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(address.pair)
        listener.listen(LISTEN_BACKLOG)
        listeners = [trio.SocketListener(listener)]
        nursery.start_soon(partial(trio.serve_listeners, serve, listeners))

    async def _receive_messages(self) -> None:
        """Take in datagrams of peers."""
        while True:
            for datagram in await self.peer_socket.receive_batch():
                host = datagram.source[0]
                try:
                    message = decode_message(datagram.data)
                except InvalidMessageError as error:
                    logger.warning(
                        "a datagram of a peer can't be read",
                        extra={"code": error.code, "peer": host},
                    )
                    continue
                self._take(host, message)

    def _take(self, host: str, message: Message) -> None:
        if self.program is None or self.nursery is None:
            return
        if isinstance(message, Heartbeat):
            self.heartbeat_sender.on_heartbeat(host, message, self.nursery)
        elif isinstance(message, StateUpdate):
            self.heartbeat_sender.on_state_update(host, message, self.nursery)
        elif isinstance(message, Departure):
            self.heartbeat_sender.members.record_departure(host)
            logger.info("peer ends", extra={"code": "peer_departed", "peer": host})
        else:
            self.heartbeat_sender.members.record_activity(host)
            self.program.on_message(host, message)

    def _answer_readiness(self) -> HttpAnswer:
        if self.is_stopping or self.program is None or not self.program.is_ready:
            return NOT_READY
        return READY

    def _answer_metrics(self) -> HttpAnswer:
        # Loaded by the first reader: the library would double the time of a start.
        from oleanderweir.packet_process.metrics_page import make_metrics_page  # noqa: PLC0415

        return make_metrics_page(self.counters)

    # Signals, settings, clocks

    async def _follow_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            name = signal.Signals(number).name
            logger.info("signal came", extra={"code": "signal", "signal": name})
            if number == signal.SIGHUP:
                self.reload()
            elif self.is_stopping:
                self._end()
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
        self._end()

    def _end(self) -> None:
        if self.nursery is not None:
            self.nursery.cancel_scope.cancel()

    async def _watch_settings(self) -> None:
        """Read the settings again from time to time, since no signal may come."""
        while True:
            await trio.sleep(RELOAD_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Take new seeds from the settings."""
        try:
            seeds = self.read_seeds()
        except OleanderweirError as error:
            logger.warning(
                "the settings can't be read; the old ones stay",
                extra={"code": "reload_failed", "reason": repr(error)},
            )
            return
        if seeds != self.heartbeat_sender.seeds:
            self.heartbeat_sender.seeds = seeds
            logger.info(
                "seeds changed", extra={"code": "reloaded", "seeds": list(seeds)}
            )

    async def _watch_clock(self) -> None:
        """Note when the process was suspended, since its beliefs are old then."""
        skew = _suspension_clock() - time.monotonic()
        while True:
            await trio.sleep(CLOCK_CHECK_INTERVAL_S)
            now_skew = _suspension_clock() - time.monotonic()
            if now_skew - skew > SUSPENSION_S:
                logger.warning(
                    "the machine was suspended",
                    extra={"code": "suspended", "for_s": round(now_skew - skew, 3)},
                )
            skew = now_skew


def _suspension_clock() -> float:
    """Return the clock that also counts time in suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
