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
    from tests.oleanderweir_agent.fault_matrix.cluster import Cluster


CONNECT_TIMEOUT_S = 1.0


class ScriptedBackend(BackendClient):
    """A backend server in memory with scripted faults."""

    def __init__(self, *, cluster: Cluster, agent: str) -> None:
        super().__init__(address=SocketAddress(host="127.0.0.1", port=1))
        self.cluster = cluster
        self.agent = agent

    async def connect(self) -> BackendExchange:
        fault = self.cluster.script.pop_fault(Step.CONNECTING)
        if fault in {Fault.KILL, Fault.RESET}:
            raise BackendUnreachableError("connection refused")
        if fault in {Fault.CUT, Fault.FREEZE, Fault.LATE}:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise BackendUnreachableError("connection attempt timed out")
        await self.cluster.apply_fault(fault, agent=self.agent)
        agent_stream, backend_stream = trio.testing.memory_stream_pair()
        connection = ScriptedConnection(
            cluster=self.cluster,
            agent=self.agent,
            agent_stream=agent_stream,
            backend_stream=backend_stream,
        )
        self.cluster.nursery.start_soon(connection.serve)
        return BackendExchange(stream=agent_stream)
