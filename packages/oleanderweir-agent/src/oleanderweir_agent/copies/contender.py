"""One of the two runs of a copied request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.copies.answer_buffer import AnswerBuffer
from oleanderweir_agent.copies.attempt_place import AttemptPlace
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_agent.copies.race import Race
    from oleanderweir_agent.requests.response_head import ResponseHead


# A copy's answer with one of these is no success, and doesn't stop the first run: its
# backend server failed, or rejected what the other one may serve.
FIRST_FAILURE_STATUS = 500
TOO_MANY_REQUESTS_STATUS = 429


@attrs.define(kw_only=True, eq=False)
class Contender:
    """
    One run of a request, and the responder that it writes its answer to.

    The answer is held back while the other run may still win. ``error`` is set if the
    run has ended without a whole answer.
    """

    race: Race
    is_copy: bool = False
    place: AttemptPlace = attrs.field(factory=AttemptPlace)
    answer: AnswerBuffer = attrs.field(factory=AnswerBuffer)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ended: trio.Event = attrs.field(factory=trio.Event)
    error: RequestRejectedError | RequestFailedError | None = None

    async def run(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run the request until it has ended or the other run has won."""
        with self.scope:
            try:
                await run()
            except (RequestRejectedError, RequestFailedError) as error:
                self.error = error
        self.ended.set()

    @property
    def is_head_sent(self) -> bool:
        """Whether this run has begun to answer."""
        return self.answer.head is not None

    async def send_head(self, head: ResponseHead) -> None:
        """Send or hold back the head; raise ``RequestFailedError`` if a copy failed."""
        if self.is_copy and _is_failure(head.status):
            raise RequestFailedError(
                reason=FailureReason.COPY_FAILED,
                message=f"the second copy was answered with status {head.status}",
            )
        self.answer.head = head
        await self._advance()

    async def send_data(self, data: bytes) -> None:
        """Send or hold back a part of the body."""
        self.answer.append(data)
        await self._advance()

    async def finish(self) -> None:
        """Complete the response if this run wins."""
        self.answer.is_complete = True
        await self._advance()

    def reset(self) -> None:
        """Reset the stream of the caller, if this run has won."""
        if self.race.winner is self:
            self.race.responder.reset()

    def reset_rejected(self) -> None:
        """Reset the stream of the caller, if this run has won."""
        if self.race.winner is self:
            self.race.responder.reset_rejected()

    async def _advance(self) -> None:
        """Send what is held back if this run has won; otherwise drop or keep it."""
        if self.race.may_win(self):
            await self.answer.flush(self.race.responder)
            return
        # The loser is cancelled here.
        await trio.lowlevel.checkpoint()


def _is_failure(status: int) -> bool:
    """Whether a status says that the backend server couldn't serve the request."""
    return status >= FIRST_FAILURE_STATUS or status == TOO_MANY_REQUESTS_STATUS
