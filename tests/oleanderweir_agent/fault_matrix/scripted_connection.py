from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs
import h11
import trio

from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.step import Step


if TYPE_CHECKING:
    from trio.testing import MemoryReceiveStream
    from trio.testing import MemorySendStream

    from tests.oleanderweir_agent.fault_matrix.cluster import Cluster

    MemoryStream = trio.StapledStream[MemorySendStream, MemoryReceiveStream]


RUN_TIME_S = 0.05
RESPONSE_LINES = 500
FOREIGN_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"


class ConnectionClosedError(Exception):
    """The connection is closed."""


def response_body(request_id: str) -> bytes:
    """Return the complete response body, which is unique to the request."""
    return b"".join(f"{request_id}:{line}\n".encode() for line in range(RESPONSE_LINES))


@attrs.define(kw_only=True, eq=False)
class ScriptedConnection:
    """The backend server's side of one connection."""

    cluster: Cluster
    agent: str
    agent_stream: MemoryStream
    backend_stream: MemoryStream
    http: h11.Connection = attrs.field(factory=lambda: h11.Connection(h11.SERVER))
    request_id: str = ""

    async def serve(self) -> None:
        with contextlib.suppress(
            ConnectionClosedError,
            h11.RemoteProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            await self.respond()
        await trio.aclose_forcefully(self.backend_stream)

    async def respond(self) -> None:
        await self.apply_step(Step.CONNECTED)
        await self.read(h11.Request)
        await self.apply_step(Step.MID_REQUEST)
        await self.read(h11.EndOfMessage)
        await self.apply_step(Step.RECEIVED)
        self.cluster.runs.append(self.request_id)
        self.cluster.run_started.set()
        await self.apply_step(Step.RUNNING)
        await trio.sleep(RUN_TIME_S)
        await self.apply_step(Step.RAN)
        await self.send(h11.Response(status_code=200, headers=[]))
        body = response_body(self.request_id)
        half = len(body) // 2
        await self.send(h11.Data(data=body[:half]))
        await self.apply_step(Step.MID_BODY)
        await self.send(h11.Data(data=body[half:]))
        await self.apply_step(Step.BEFORE_END)
        await self.send(h11.EndOfMessage())

    async def read(self, last: type[h11.Event]) -> None:
        """Read events up to and including the first of type ``last``."""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(bytes(await self.backend_stream.receive_some()))
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionClosedError
            if isinstance(event, h11.Request):
                self.request_id = dict(event.headers)[b"request-id"].decode()
            if isinstance(event, last):
                return

    async def send(self, event: h11.Event) -> None:
        await self.backend_stream.send_all(self.http.send(event) or b"")

    async def apply_step(self, step: Step) -> None:
        """Inject the fault that is scheduled for this step."""
        fault = self.cluster.script.pop_fault(step)
        if fault is Fault.KILL:
            raise ConnectionClosedError
        if fault is Fault.RESET:
            # The agent's reads and writes raise an error; it receives no end of stream.
            await trio.aclose_forcefully(self.agent_stream)
            raise ConnectionClosedError
        if fault in {Fault.SHED, Fault.SHED_UNPROVEN}:
            await self.shed(is_confirmed=fault is Fault.SHED)
        elif fault is Fault.FOREIGN_DATA:
            await self.backend_stream.send_all(FOREIGN_RESPONSE)
        else:
            await self.cluster.apply_fault(fault, agent=self.agent)

    async def shed(self, *, is_confirmed: bool) -> None:
        """Respond 503; a confirmed response states that the request did not run."""
        headers = [("content-length", "0")]
        if is_confirmed:
            headers.append(("request-not-run", "full"))
        await self.send(h11.Response(status_code=503, headers=headers))
        await self.send(h11.EndOfMessage())
        raise ConnectionClosedError
