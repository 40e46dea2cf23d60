"""The interface of request handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder


class RequestHandler(Protocol):
    """Handles requests; a task is cancelled when the caller cancels its request."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Send a complete response or a rejection, or reset the stream."""
