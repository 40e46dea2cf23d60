"""Runs a packet balancer as a process: caller socket, timers and shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.net import BATCH_LIMIT
from oleanderweir_balancer.forwarding.pause_watch import TICK_INTERVAL_S
from oleanderweir_balancer.forwarding.pause_watch import PauseWatch


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.desired_state import Topic
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.messages import Message
    from oleanderweir_balancer.forwarding.packet_balancer import PacketBalancer


EXPIRY_INTERVAL_S = 1.0
# Interval between two checks for lookups that are due for a retry.
LOOKUP_CHECK_INTERVAL_S = 0.05
# A draining process exits once it has received no caller's packet for this time.
IDLE_S = 0.4
# Routers remove a process after two failed probes, half a second apart.
ROUTER_REMOVAL_DELAY_S = 1.6
# Interval between two checks of the send queue while packets wait.
SEND_INTERVAL_S = 0.004
# Part of the grace period that is reserved for the exit of the process itself.
GRACE_MARGIN_S = 0.7


class BalancerProgram:
    """
    Feeds a ``PacketBalancer`` with packets, messages and timer events.

    ``clock`` returns seconds and counts the time for which the machine is suspended.
    """

    def __init__(
        self,
        *,
        balancer: PacketBalancer,
        packet_socket: UdpSocket,
        grace_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.balancer = balancer
        self.packet_socket = packet_socket
        self.grace_s = grace_s
        self.pause_watch = PauseWatch(clock=clock)
        self.packet_barrier = ErrorBarrier(place="caller_packet")
        self.timer_barrier = ErrorBarrier(place="timer")

    @property
    def is_ready(self) -> bool:
        """Whether routers may send packets to this process."""
        return self.balancer.is_ready

    @property
    def holds_no_flows(self) -> bool:
        """Always false: only an agent reports that its backend server has no flows."""
        return False

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Receive packets of callers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._watch_pauses)
            nursery.start_soon(self._expire)
            nursery.start_soon(self._retry_lookups)
            nursery.start_soon(self._send_queued)
            nursery.start_soon(self._send_hedges)
            task_status.started()

    def on_message(self, host: str, message: Message) -> None:
        """Process a message of an agent."""
        self.balancer.on_message(host, message)

    def on_state_change(self, topic: Topic) -> None:
        """Apply a change of the published state."""
        self.balancer.on_state_change(topic)

    def on_standstill(self) -> None:
        """Do nothing: flows are placed by reports, which a standstill makes silent."""

    async def drain(self) -> None:
        """
        Forward packets until the process can exit.

        Waits for ``ROUTER_REMOVAL_DELAY_S``, then until callers have sent nothing for
        ``IDLE_S``; stops ``GRACE_MARGIN_S`` before the grace period expires at the
        latest.
        """
        with trio.move_on_after(self.grace_s - GRACE_MARGIN_S):
            await trio.sleep(ROUTER_REMOVAL_DELAY_S)
            while trio.current_time() < self._idle_at():
                await trio.sleep_until(self._idle_at())

    def _idle_at(self) -> float:
        """Return when callers will have sent nothing for ``IDLE_S``."""
        return self.balancer.last_caller_packet_at + IDLE_S

    async def _receive(self) -> None:
        while True:
            batch = await self.packet_socket.receive_batch()
            waited_s = self.pause_watch.on_read(is_empty=len(batch) < BATCH_LIMIT)
            for datagram in batch:
                with self.packet_barrier:
                    self.balancer.on_caller_packet(datagram.data, waited_s=waited_s)

    async def _watch_pauses(self) -> None:
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            self.pause_watch.tick()
            self.balancer.members.record_run()

    async def _expire(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            with self.timer_barrier:
                self.balancer.expire()

    async def _retry_lookups(self) -> None:
        while True:
            await self.balancer.owner_lookup.lookups.wait_for_any()
            await trio.sleep(LOOKUP_CHECK_INTERVAL_S)
            with self.timer_barrier:
                self.balancer.retry_lookups()

    async def _send_queued(self) -> None:
        transport = self.balancer.transport
        while (queue := transport.send_queue) is not None:
            await queue.wait_for_any()
            await trio.sleep(SEND_INTERVAL_S)
            with self.timer_barrier:
                transport.send_queued()

    async def _send_hedges(self) -> None:
        hedger = self.balancer.hedger
        while True:
            await hedger.wait_for_any()
            await trio.sleep_until(hedger.next_due_at)
            with self.timer_barrier:
                hedger.send_due(now=trio.current_time())
