from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing


if TYPE_CHECKING:
    from oleanderweir.desired_state import Topic


class FakeSource:
    """Returns or raises scripted results in turn; blocks forever after the last."""

    def __init__(self, *script: Listing | Changes | Exception) -> None:
        self.script = list(script)
        self.calls: list[str] = []
        self.called_at: list[float] = []
        self.waits: list[float] = []

    async def list(self, topic: Topic) -> Listing:
        result = await self._next("list")
        assert isinstance(result, Listing)
        return result

    async def watch(self, topic: Topic, *, after: int, wait_s: float) -> Changes:
        self.waits.append(wait_s)
        result = await self._next(f"watch {after}")
        assert isinstance(result, Changes)
        return result

    async def _next(self, call: str) -> Listing | Changes:
        self.calls.append(call)
        self.called_at.append(trio.current_time())
        if not self.script:
            await trio.sleep_forever()
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result
