"""The way on which a request reaches a peer agent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.requests import Request
    from oleanderweir_agent.requests import Responder


class PeerRelay(Protocol):
    """Offers requests to the agents of the same service."""

    async def offer(
        self,
        *,
        peer: str,
        request: Request,
        responder: Responder,
        max_wait_s: float,
    ) -> None:
        """
        Have a peer answer a request, if it takes it.

        Raise ``RequestRejectedError`` when the peer refused or was never reached, and
        ``RequestFailedError`` when it was lost after it may have taken the request.
        """
