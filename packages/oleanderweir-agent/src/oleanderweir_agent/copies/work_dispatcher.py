"""The interface for running one attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.copies.attempt_place import AttemptPlace
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder


class WorkDispatcher(Protocol):
    """Runs requests at the local backend server or at a peer."""

    async def run_work(
        self, request: Request, responder: Responder, place: AttemptPlace
    ) -> None:
        """
        Run a request, and keep ``place`` up to date.

        Raise ``RequestRejectedError`` if it did not run, and ``RequestFailedError`` if
        it may have run and was not answered.
        """
