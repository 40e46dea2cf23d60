"""Where the answer to a request goes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir_agent.requests.response_head import ResponseHead


class Responder(Protocol):
    """
    Takes the parts of one answer, in order.

    ``reset_rejected`` tells the caller that the request did not run; ``reset`` tells
    nothing, so it may have run.
    """

    @property
    def is_head_sent(self) -> bool:
        """Whether a part of the answer is on its way."""

    async def send_head(self, head: ResponseHead) -> None:
        """Send status and header fields."""

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""

    async def finish(self) -> None:
        """End a whole answer."""

    def reset(self) -> None:
        """Break the answer off; the request may have run."""

    def reset_rejected(self) -> None:
        """Refuse the request; it did not run."""
