from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from oleanderweir_agent.requests import ResponseHead


@attrs.define(kw_only=True)
class RecordingResponder:
    """Records the response that the caller receives."""

    read_delay_s: float = 0.0
    head: ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    is_finished: bool = False
    is_reset: bool = False
    is_rejected: bool = False
    closed_at: float | None = None

    @property
    def is_head_sent(self) -> bool:
        return self.head is not None

    @property
    def reports_not_run(self) -> bool:
        """Whether the response states that the request did not run."""
        if self.is_rejected:
            return True
        return self.head is not None and self.head.first(b"request-not-run") is not None

    async def send_head(self, head: ResponseHead) -> None:
        assert self.head is None
        assert not self.is_closed
        self.head = head

    async def send_data(self, data: bytes) -> None:
        assert self.head is not None
        assert not self.is_closed
        await trio.sleep(self.read_delay_s)
        self.body += data

    async def finish(self) -> None:
        assert self.head is not None
        assert not self.is_closed
        self.is_finished = True
        self.closed_at = trio.current_time()

    @property
    def is_closed(self) -> bool:
        return self.closed_at is not None

    def reset(self) -> None:
        if not self.is_closed:
            self.is_reset = True
            self.closed_at = trio.current_time()

    def reset_rejected(self) -> None:
        if not self.is_closed:
            self.is_rejected = True
            self.closed_at = trio.current_time()
