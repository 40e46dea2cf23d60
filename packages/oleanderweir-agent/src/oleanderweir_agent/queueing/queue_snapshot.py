"""The slots and the queue of one moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.queueing.permit import Permit
    from oleanderweir_agent.queueing.waiting_request import WaitingRequest


@attrs.frozen(kw_only=True)
class QueueSnapshot:
    """
    The slots and the queue of one moment.

    Nothing starts before ``pause_s`` is over. More requests may run than ``limit``
    allows, after a cut; the first of them to end free no slot.
    """

    running: Sequence[Permit]
    waiting: Sequence[WaitingRequest]
    limit: int
    pause_s: float

    def ahead_of(self, waiting: WaitingRequest) -> QueueSnapshot:
        """Return the same with only those in the queue that rank before."""
        ahead = [other for other in self.waiting if other.rank <= waiting.rank]
        return attrs.evolve(self, waiting=ahead)

    def long_only(self, *, limit: int) -> QueueSnapshot:
        """Return the long work alone, and the slots that it may hold."""
        return attrs.evolve(
            self,
            running=[permit for permit in self.running if permit.is_long],
            waiting=[other for other in self.waiting if other.is_long],
            limit=limit,
        )
