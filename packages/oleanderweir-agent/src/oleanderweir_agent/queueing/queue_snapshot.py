"""The state of the slots and the queue at one point in time."""

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
    The state of the slots and the queue at one point in time.

    No request starts within the next ``pause_s`` seconds. After the limit has been
    reduced, more requests than ``limit`` may be running; the slots of the surplus are
    not reused when they complete.
    """

    running: Sequence[Permit]
    waiting: Sequence[WaitingRequest]
    limit: int
    pause_s: float

    def ahead_of(self, waiting: WaitingRequest) -> QueueSnapshot:
        """Return a copy with only the queued requests that start before ``waiting``."""
        ahead = [other for other in self.waiting if other.rank <= waiting.rank]
        return attrs.evolve(self, waiting=ahead)

    def long_only(self, *, limit: int) -> QueueSnapshot:
        """Return a copy with only the long requests and a limit for them."""
        return attrs.evolve(
            self,
            running=[permit for permit in self.running if permit.is_long],
            waiting=[other for other in self.waiting if other.is_long],
            limit=limit,
        )
