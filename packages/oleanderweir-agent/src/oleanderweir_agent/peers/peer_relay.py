"""The interface for offering requests to peer agents."""

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
        Offer a request to a peer, and forward its response to ``responder``.

        Raise ``RequestRejectedError`` if the peer rejected the offer or was not
        reached, and ``RequestFailedError`` if the peer may have accepted the offer
        and did not complete the response.
        """
