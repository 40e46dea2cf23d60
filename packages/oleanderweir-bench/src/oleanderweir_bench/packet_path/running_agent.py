"""An agent of an emulated site and its task."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.packet_path.site_settings import TICK_S


if TYPE_CHECKING:
    from oleanderweir_agent.forwarding import PacketAgent


@attrs.define(kw_only=True, eq=False)
class RunningAgent:
    """
    A running agent and the scope that cancels its task.

    A paused agent processes nothing; its datagrams wait in its sockets.
    """

    agent: PacketAgent
    is_paused: bool = False
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Run the agent's tick periodically until the scope is cancelled."""
        with self.scope:
            while True:
                await trio.sleep(TICK_S)
                if not self.is_paused:
                    self.agent.on_tick()
