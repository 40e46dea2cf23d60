"""The interface for answering requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder


class RequestHandler(Protocol):
    """Answers one request; its task is cancelled when the caller cancels it."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request completely, reject it, or reset its stream."""
