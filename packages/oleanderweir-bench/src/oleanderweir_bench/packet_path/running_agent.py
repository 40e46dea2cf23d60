"""An agent of an emulated site and its task."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.packet_path.site_settings import EXPIRY_TICKS
from oleanderweir_bench.packet_path.site_settings import TICK_S


if TYPE_CHECKING:
    from oleanderweir.peering import HeartbeatSender
    from oleanderweir_agent.forwarding import PacketAgent
    from oleanderweir_bench.packet_path.emulated_probe import EmulatedProbe


@attrs.define(kw_only=True, eq=False)
class RunningAgent:
    """
    A running agent and the scope that cancels its task.

    A paused agent processes nothing; its datagrams wait in its sockets. With ``probe``
    and ``heartbeat_sender``, all periodic work of the program runs, not only the tick.
    """

    agent: PacketAgent
    is_paused: bool = False
    probe: EmulatedProbe | None = None
    heartbeat_sender: HeartbeatSender | None = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Run the agent's tick periodically until the scope is cancelled."""
        with self.scope:
            if self.heartbeat_sender is not None:
                await self._run_program(self.heartbeat_sender)
            while True:
                await trio.sleep(TICK_S)
                if not self.is_paused:
                    self.agent.on_tick()

    async def _run_program(self, heartbeat_sender: HeartbeatSender) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heartbeat_sender.run)
            nursery.start_soon(self._check_backend)
            for step in count(1):
                await trio.sleep(TICK_S)
                if self.is_paused:
                    continue
                self.agent.on_tick()
                if step % EXPIRY_TICKS == 0:
                    self.agent.expire()
                if self.agent.liveness.needs_probe(now=trio.current_time()):
                    nursery.start_soon(self._check_backend)

    async def _check_backend(self) -> None:
        """Probe the backend server, as the program does."""
        if self.probe is None:
            return
        checked_at = trio.current_time()
        outcome = await self.probe.probe()
        if not self.is_paused:
            self.agent.on_probe_outcome(outcome, checked_at=checked_at)
