from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir.desired_state import Changes
    from oleanderweir.desired_state import Listing
    from oleanderweir.desired_state import Topic
    from oleanderweir_platform.store_client import StoreClient


class SuspendableSource:
    """A store's client whose calls begin only while its process is awake."""

    def __init__(self, *, client: StoreClient) -> None:
        self.client = client
        self.awake = trio.Event()
        self.awake.set()

    async def list(self, topic: Topic) -> Listing:
        await self.awake.wait()
        return await self.client.list(topic)

    async def watch(self, topic: Topic, *, after: int, wait_s: float) -> Changes:
        await self.awake.wait()
        return await self.client.watch(topic, after=after, wait_s=wait_s)
