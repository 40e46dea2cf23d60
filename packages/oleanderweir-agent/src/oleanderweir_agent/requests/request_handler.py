"""What answers requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder


class RequestHandler(Protocol):
    """Answers one request; the task is cancelled when the caller gives it up."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request whole, or refuse or reset it."""
