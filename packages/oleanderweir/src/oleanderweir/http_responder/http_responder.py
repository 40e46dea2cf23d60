"""Answers GET requests, one task for each connection."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import h11
import trio

from oleanderweir.http_responder.http_answer import HttpAnswer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping


logger = logging.getLogger(__name__)

CHUNK_BYTES = 16 * 1024
# A connection without a request is closed after this time.
IDLE_TIMEOUT_S = 30.0
NOT_FOUND = HttpAnswer(status=404, body=b"not found\n")
NOT_ALLOWED = HttpAnswer(status=405, body=b"only GET is answered here\n")


class HttpResponder:
    """Serves a few paths; ``answers`` maps each to what makes its answer."""

    def __init__(self, *, answers: Mapping[str, Callable[[], HttpAnswer]]) -> None:
        self.answers = answers

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection until it ends."""
        connection = h11.Connection(h11.SERVER)
        try:
            with trio.move_on_after(IDLE_TIMEOUT_S) as idle:
                while await self._answer_one(connection, stream):
                    idle.deadline = trio.current_time() + IDLE_TIMEOUT_S
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as error:
            logger.info(
                "an HTTP connection broke off",
                extra={"code": "http_broken", "reason": repr(error)},
            )
        await trio.aclose_forcefully(stream)

    async def _answer_one(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> bool:
        """Answer one request; return whether another may follow."""
        request: h11.Request | None = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(CHUNK_BYTES)
                connection.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        await stream.send_all(self._respond(connection, request))
        if connection.our_state is h11.MUST_CLOSE:
            return False
        connection.start_next_cycle()
        return True

    def _respond(self, connection: h11.Connection, request: h11.Request) -> bytes:
        """Return the bytes of the answer to a request."""
        answer = self._find(request)
        head = h11.Response(
            status_code=answer.status,
            headers=[
                ("Content-Type", answer.content_type),
                ("Content-Length", str(len(answer.body))),
            ],
        )
        parts = [
            connection.send(head),
            connection.send(h11.Data(data=answer.body)),
            connection.send(h11.EndOfMessage()),
        ]
        return b"".join(part for part in parts if part)

    def _find(self, request: h11.Request) -> HttpAnswer:
        path = request.target.split(b"?")[0].decode("ascii", "replace")
        make_answer = self.answers.get(path)
        if make_answer is None:
            return NOT_FOUND
        if request.method != b"GET":
            return NOT_ALLOWED
        return make_answer()
