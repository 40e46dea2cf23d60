"""Runs a packet-forwarding process: peers, published state, probes, signals."""

from __future__ import annotations

import logging
import signal
import time
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import StateFollower
from oleanderweir.desired_state import Topic
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.packet_process.clock_watch import ClockWatch
from oleanderweir.packet_process.message_receiver import MessageReceiver
from oleanderweir.packet_process.process_listeners import ProcessListeners


if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from oleanderweir.desired_state import Changes
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.desired_state import StateSource
    from oleanderweir.event_log import EventCounters
    from oleanderweir.net import UdpSocket
    from oleanderweir.packet_process.packet_program import PacketProgram
    from oleanderweir.packet_process.process_addresses import ProcessAddresses
    from oleanderweir.peering import HeartbeatSender


logger = logging.getLogger(__name__)

# How often the settings are reloaded without a signal.
RELOAD_INTERVAL_S = 2.0


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
        self.peer_socket = peer_socket
        self.heartbeat_sender = heartbeat_sender
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
                reader_status=heartbeat_sender.status,
                on_changes=self._send_changes,
                random_source=random_source,
            )
            for topic, status in statuses.items()
        ]
        for follower in self.followers:
            follower.on_watch_lost = self._interrupt_watches
            follower.on_response = heartbeat_sender.on_source_response
        heartbeat_sender.on_unproved = self._interrupt_watches
        desired_status = statuses[Topic.DESIRED_STATE]
        heartbeat_sender.reader_choice.does_source_answer = lambda: (
            desired_status.is_connected
        )
        self.listeners = ProcessListeners(
            addresses=addresses,
            register=register,
            counters=counters,
            is_ready=lambda: self.is_ready,
        )
        self.program: PacketProgram | None = None
        self.is_stopping = False
        self.receiver: MessageReceiver | None = None
        self.reload_barrier = ErrorBarrier(place="reload")
        self.drain_barrier = ErrorBarrier(place="drain")
        self.nursery: trio.Nursery | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the program is ready and the process isn't stopping."""
        if self.is_stopping or self.program is None:
            return False
        return self.program.is_ready

    async def run(self, program: PacketProgram) -> None:
        """Serve until a signal stops the process."""
        self.program = program
        self.heartbeat_sender.holds_no_flows = lambda: program.holds_no_flows
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await nursery.start(program.run)
                clock_watch = ClockWatch(on_wake=self._on_standstill)
                for follower in self.followers:
                    nursery.start_soon(follower.run)
                self.receiver = MessageReceiver(
                    peer_socket=self.peer_socket,
                    heartbeat_sender=self.heartbeat_sender,
                    program=program,
                    nursery=nursery,
                    clock_watch=clock_watch,
                )
                nursery.start_soon(self.receiver.run)
                nursery.start_soon(self.heartbeat_sender.run)
                await self.listeners.start(nursery)
                nursery.start_soon(self._handle_signals, signals)
                nursery.start_soon(self._watch_settings)
                nursery.start_soon(clock_watch.run)
                logger.info(
                    "started",
                    extra={"code": "started", "cpu_s": round(time.process_time(), 3)},
                )

    def _interrupt_watches(self) -> None:
        """Check the watches of all topics, after one was lost or a standstill."""
        for follower in self.followers:
            follower.interrupt_watch()

    def _on_standstill(self) -> None:
        """Check all that this process got before it stood still."""
        self.heartbeat_sender.on_standstill()
        if self.receiver is not None:
            self.receiver.process_backlog()
        if self.program is not None:
            self.program.on_standstill()
        self.heartbeat_sender.request_confirmations()
        self._interrupt_watches()

    def on_state_change(self, topic: Topic) -> None:
        """Notify the program and the peers of a change."""
        if self.program is not None:
            self.program.on_state_change(topic)
            self.heartbeat_sender.on_state_change(topic)

    def _send_changes(self, changes: Changes, base: int) -> None:
        """Send changes of the source to the members, as a reader."""
        if not self.heartbeat_sender.reader_choice.is_distributor:
            return
        self.heartbeat_sender.synchronizer.send_changes(changes, base=base)

    # Signals and settings

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            name = signal.Signals(number).name
            logger.info("received a signal", extra={"code": "signal", "signal": name})
            if number == signal.SIGHUP:
                with self.reload_barrier:
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
            with self.drain_barrier:
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
            with self.reload_barrier:
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
