"""A nursery for the background tasks of a context manager."""

from __future__ import annotations

import trio


class BackgroundNursery:
    """A nursery that a context manager opens on entry and closes on exit."""

    def __init__(self) -> None:
        self.manager = trio.open_nursery()

    async def open(self) -> trio.Nursery:
        """Open the nursery and return it."""
        self.nursery = await self.manager.__aenter__()
        return self.nursery

    async def close(self) -> None:
        """
        Cancel the tasks and wait until they have ended.

        An exception of the context's body is not passed to the nursery, which would
        wrap it in an exception group.
        """
        self.nursery.cancel_scope.cancel()
        await self.manager.__aexit__(None, None, None)
