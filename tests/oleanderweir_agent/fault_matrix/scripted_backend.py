from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.net import SocketAddress
from oleanderweir_agent.backend import BackendClient
from oleanderweir_agent.backend import BackendExchange
from oleanderweir_agent.backend import BackendUnreachableError
from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.scripted_connection import ScriptedConnection
from tests.oleanderweir_agent.fault_matrix.step import Step


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.world import World


CONNECT_TIMEOUT_S = 1.0


class ScriptedBackend(BackendClient):
    """A backend server in memory, to which faults happen by the script."""

    def __init__(self, *, world: World, agent: str) -> None:
        super().__init__(address=SocketAddress(host="127.0.0.1", port=1))
        self.world = world
        self.agent = agent

    async def connect(self) -> BackendExchange:
        fault = self.world.script.take(Step.CONNECTING)
        if fault in {Fault.KILL, Fault.RESET}:
            raise BackendUnreachableError("refused")
        if fault in {Fault.CUT, Fault.FREEZE, Fault.LATE}:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise BackendUnreachableError("no answer in time")
        await self.world.go_through(fault, agent=self.agent)
        near, far = trio.testing.memory_stream_pair()
        connection = ScriptedConnection(
            world=self.world, agent=self.agent, near=near, far=far
        )
        self.world.nursery.start_soon(connection.serve)
        return BackendExchange(stream=near)
