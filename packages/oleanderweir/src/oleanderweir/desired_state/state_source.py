"""The interface of the source of the published state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.desired_state.topic import Changes
    from oleanderweir.desired_state.topic import Listing
    from oleanderweir.desired_state.topic import Topic


class StateSource(Protocol):
    """
    A store that can be listed and watched; processes only read it.

    Revisions only grow, even if the source returns from an older copy. Both calls raise
    ``SourceUnavailableError`` if they fail; ``watch`` also raises ``HistoryLostError``
    if the source no longer has all changes since ``after``, or returned from a copy.
    """

    async def list(self, topic: Topic) -> Listing:
        """Return all documents of a topic."""

    async def watch(self, topic: Topic, *, after: int, wait_s: float) -> Changes:
        """
        Return the changes after a revision as soon as there are any.

        Return without changes when there are none for ``wait_s`` seconds.
        """
