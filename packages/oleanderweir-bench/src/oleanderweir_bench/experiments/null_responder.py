"""A caller that ignores its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir_agent.requests import ResponseHead


class NullResponder:
    """Takes an answer and drops it."""

    def __init__(self) -> None:
        self.is_head_sent = False

    async def send_head(self, head: ResponseHead) -> None:
        """Drop the head."""
        self.is_head_sent = True
        await trio.lowlevel.checkpoint()

    async def send_data(self, data: bytes) -> None:
        """Drop a part of the body."""
        await trio.lowlevel.checkpoint()

    async def finish(self) -> None:
        """Drop the end."""
        await trio.lowlevel.checkpoint()

    def reset(self) -> None:
        """Drop the reset."""

    def reset_rejected(self) -> None:
        """Drop the reset."""
