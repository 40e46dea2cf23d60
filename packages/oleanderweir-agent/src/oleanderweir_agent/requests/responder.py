"""The interface through which a response is sent to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.requests.response_head import ResponseHead


class Responder(Protocol):
    """
    Sends the parts of one response, in order.

    ``reset_rejected`` signals that the request did not run. After ``reset``, the
    caller must assume that it may have run.
    """

    @property
    def is_head_sent(self) -> bool:
        """Whether the head of the response has been sent."""

    async def send_head(self, head: ResponseHead) -> None:
        """Send the status and header fields."""

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""

    async def finish(self) -> None:
        """Complete the response."""

    def reset(self) -> None:
        """Reset the stream of a request that may have run."""

    def reset_rejected(self) -> None:
        """Reset the stream of a request that did not run."""
