"""The agent process: receive loop, timers and shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir_agent.forwarding.backend_liveness import QUIET_S


if TYPE_CHECKING:
    from oleanderweir.desired_state import Topic
    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.messages import Message
    from oleanderweir_agent.forwarding.backend_probe import BackendProbe
    from oleanderweir_agent.forwarding.packet_agent import PacketAgent


# Interval of the agent's ticks while work is pending, and while none is. Both are
# shorter than ``PAUSE_S`` of ``backend_liveness``: two ticks further apart than that
# indicate that the process was paused.
TICK_S = 0.05
IDLE_TICK_S = 0.15
EXPIRY_INTERVAL_S = 1.0
# How long the agent still runs at the end of a drain, to forward the last packets after
# its backend server has stopped.
LINGER_S = 0.3


class AgentProgram:
    """Runs a ``PacketAgent``: feeds it packets, ticks and probe outcomes."""

    def __init__(
        self, *, agent: PacketAgent, backend_socket: UdpSocket, probe: BackendProbe
    ) -> None:
        self.agent = agent
        self.backend_socket = backend_socket
        self.probe = probe
        self.is_probing = False
        self.packet_barrier = ErrorBarrier(place="backend_packet")
        self.timer_barrier = ErrorBarrier(place="timer")
        self.probe_barrier = ErrorBarrier(place="probe")

    @property
    def is_ready(self) -> bool:
        """Always true: an agent is ready from its start."""
        return True

    @property
    def holds_no_flows(self) -> bool:
        """Whether the backend server has stopped, so that it holds no flows."""
        return self.agent.holds_no_flows

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Receive packets of the backend server until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._check_backend)
            nursery.start_soon(self._tick, nursery)
            nursery.start_soon(self._expire)
            task_status.started()

    def on_message(self, host: str, message: Message) -> None:
        """Pass a peer's message to the agent."""
        self.agent.on_message(host, message)

    def on_state_change(self, topic: Topic) -> None:
        """Apply a change of the published state."""
        del topic
        self.agent.on_state_change()

    def on_standstill(self) -> None:
        """
        Process the packets that waited, and doubt the backend server after them.

        They may be from before the standstill, so they must not end the doubt.
        """
        self._process(self.backend_socket.read_backlog())
        self.agent.on_standstill()

    async def drain(self) -> None:
        """
        Forward the last packets of the backend server before the process exits.

        Waits until the backend server has sent nothing for ``QUIET_S``, for at most
        twice that time, and probes it. Announces the departure only if the backend
        server has stopped: one that still runs keeps its flows.
        """
        with trio.move_on_after(QUIET_S * 2):
            while trio.current_time() - self.agent.liveness.last_packet_at <= QUIET_S:
                await trio.sleep(TICK_S)
        await self._check_backend()
        if self.agent.holds_no_flows:
            self.agent.announce_departure()
        await trio.sleep(LINGER_S)

    async def _receive(self) -> None:
        while True:
            self._process(await self.backend_socket.receive_batch())

    def _process(self, batch: list[Datagram]) -> None:
        for datagram in batch:
            with self.packet_barrier:
                self.agent.on_backend_packet(datagram.data)

    async def _tick(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(TICK_S if self.agent.has_pending_work else IDLE_TICK_S)
            with self.timer_barrier:
                self.agent.on_tick()
            now = trio.current_time()
            if self.agent.liveness.needs_probe(now=now) and not self.is_probing:
                nursery.start_soon(self._check_backend)

    async def _check_backend(self) -> None:
        """Probe the backend server, and drop its flows if it has stopped."""
        self.is_probing = True
        checked_at = trio.current_time()
        with self.probe_barrier:
            outcome = await self.probe.probe()
            self.agent.on_probe_outcome(outcome, checked_at=checked_at)
        self.is_probing = False

    async def _expire(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            with self.timer_barrier:
                self.agent.expire()
