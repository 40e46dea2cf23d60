"""Whether a process reads a topic from its source."""

from __future__ import annotations

from typing import Any

import attrs
import trio


def _wake_follower(
    status: ReaderStatus, attribute: attrs.Attribute[Any], value: bool
) -> bool:
    """Wake the follower once the process reads."""
    del attribute
    if value:
        status.reading.set()
    return value


@attrs.define(kw_only=True, eq=False)
class ReaderStatus:
    """
    The status that a topic's follower shares with the peer protocol.

    The peer protocol clears ``should_read`` while enough other processes read the topic
    and distribute its changes. The follower sets ``is_connected`` while the source
    answers, and ``is_waiting`` while it makes no calls.
    """

    should_read: bool = attrs.field(default=True, on_setattr=_wake_follower)
    is_connected: bool = False
    is_waiting: bool = False
    reading: trio.Event = attrs.field(factory=trio.Event, init=False)

    async def wait_to_read(self) -> None:
        """Wait until this process reads the topic."""
        self.is_waiting = True
        while not self.should_read:
            self.reading = trio.Event()
            await self.reading.wait()
        self.is_waiting = False
