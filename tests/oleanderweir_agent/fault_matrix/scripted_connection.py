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

    from tests.oleanderweir_agent.fault_matrix.world import World

    MemoryStream = trio.StapledStream[MemorySendStream, MemoryReceiveStream]


RUN_S = 0.05
ANSWER_LINES = 500
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"


class ConnectionOverError(Exception):
    """Nothing more happens on the connection."""


def answer_body(request_id: str) -> bytes:
    """Return the whole answer to a request, which is like no other."""
    return b"".join(f"{request_id}:{line}\n".encode() for line in range(ANSWER_LINES))


@attrs.define(kw_only=True, eq=False)
class ScriptedConnection:
    """The backend server's side of one connection."""

    world: World
    agent: str
    near: MemoryStream
    far: MemoryStream
    http: h11.Connection = attrs.field(factory=lambda: h11.Connection(h11.SERVER))
    request_id: str = ""

    async def serve(self) -> None:
        with contextlib.suppress(
            ConnectionOverError,
            h11.RemoteProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            await self.answer()
        await trio.aclose_forcefully(self.far)

    async def answer(self) -> None:
        await self.reach(Step.CONNECTED)
        await self.read(h11.Request)
        await self.reach(Step.MID_REQUEST)
        await self.read(h11.EndOfMessage)
        await self.reach(Step.RECEIVED)
        self.world.ledger.append(self.request_id)
        self.world.run_begun.set()
        await self.reach(Step.RUNNING)
        await trio.sleep(RUN_S)
        await self.reach(Step.RAN)
        await self.send(h11.Response(status_code=200, headers=[]))
        body = answer_body(self.request_id)
        half = len(body) // 2
        await self.send(h11.Data(data=body[:half]))
        await self.reach(Step.MID_BODY)
        await self.send(h11.Data(data=body[half:]))
        await self.reach(Step.BEFORE_END)
        await self.send(h11.EndOfMessage())

    async def read(self, last: type[h11.Event]) -> None:
        """Read up to an event of that type."""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(bytes(await self.far.receive_some()))
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionOverError
            if isinstance(event, h11.Request):
                self.request_id = dict(event.headers)[b"request-id"].decode()
            if isinstance(event, last):
                return

    async def send(self, event: h11.Event) -> None:
        await self.far.send_all(self.http.send(event) or b"")

    async def reach(self, step: Step) -> None:
        """Let the fault strike that the script has for this step."""
        fault = self.world.script.take(step)
        if fault is Fault.KILL:
            raise ConnectionOverError
        if fault is Fault.RESET:
            # The agent's reads and writes fail, without an end of the stream.
            await trio.aclose_forcefully(self.near)
            raise ConnectionOverError
        if fault in {Fault.SHED, Fault.SHED_UNPROVEN}:
            await self.shed(is_proven=fault is Fault.SHED)
        elif fault is Fault.CROSSED:
            await self.far.send_all(OTHER_ANSWER)
        else:
            await self.world.go_through(fault, agent=self.agent)

    async def shed(self, *, is_proven: bool) -> None:
        """Answer 503."""
        headers = [("content-length", "0")]
        if is_proven:
            headers.append(("request-not-run", "full"))
        await self.send(h11.Response(status_code=503, headers=headers))
        await self.send(h11.EndOfMessage())
        raise ConnectionOverError
