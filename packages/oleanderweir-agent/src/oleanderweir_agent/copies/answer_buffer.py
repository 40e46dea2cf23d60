"""The part of an answer that has not gone to the caller yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.requests.responder import Responder
    from oleanderweir_agent.requests.response_head import ResponseHead


# An answer of this length is sent before it is whole, to bound the memory.
MAX_BUFFERED_BYTES = 32 * 1024


@attrs.define(kw_only=True, eq=False)
class AnswerBuffer:
    """The head and the body of an answer, as far as they wait for the caller."""

    head: ResponseHead | None = None
    parts: deque[bytes] = attrs.field(factory=deque)
    size_bytes: int = 0
    is_complete: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the answer is whole, or too long to wait for its end."""
        return self.is_complete or self.size_bytes >= MAX_BUFFERED_BYTES

    def append(self, data: bytes) -> None:
        """Add a part of the body."""
        self.parts.append(data)
        self.size_bytes += len(data)

    async def flush(self, responder: Responder) -> None:
        """Send what is here to the caller."""
        if self.head is not None and not responder.is_head_sent:
            await responder.send_head(self.head)
        while self.parts:
            await responder.send_data(self.parts.popleft())
        if self.is_complete:
            await responder.finish()
