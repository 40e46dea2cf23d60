"""The runs of one request, of which one answers the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.copies.attempt_place import AttemptPlace
from oleanderweir_agent.copies.contender import Contender
from oleanderweir_agent.copies.copy_outcome import CopyOutcome
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from oleanderweir_agent.requests.responder import Responder


@attrs.define(kw_only=True, eq=False)
class Race:
    """
    The first run of a request and perhaps its copy.

    ``due_at`` is the trio time from which on the first run is slow, ``decided_at`` the
    one at which one of them won.
    """

    responder: Responder
    first: Contender = attrs.field(init=False)
    copy: Contender | None = None
    winner: Contender | None = None
    due_at: float = 0.0
    decided_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.first = Contender(race=self)

    def add_copy(self, peer: str) -> Contender:
        """Return a copy at a peer, to which the first run isn't offered any more."""
        self.first.place.avoided.add(peer)
        self.copy = Contender(race=self, is_copy=True, place=AttemptPlace(peer=peer))
        return self.copy

    def remove_copy(self, peer: str) -> None:
        """Forget a copy that its peer rejected."""
        self.first.place.avoided.discard(peer)
        self.copy = None

    def may_win(self, contender: Contender) -> bool:
        """
        Return whether a run answers the caller, and decide that if it is open.

        The first whole answer wins; so does one that goes on alone, from its start.
        """
        is_open = self.winner is None
        if is_open and (not self._is_contested() or contender.answer.is_ready):
            self._decide(contender)
        return self.winner is contender

    @property
    def loser(self) -> Contender | None:
        """The run that was stopped because the other one won."""
        if self.copy is None or self.winner is None:
            return None
        other = self.first if self.winner is self.copy else self.copy
        return other if other.error is None else None

    @property
    def error(self) -> RequestRejectedError | RequestFailedError | None:
        """
        The error of a request without a whole answer.

        It is that of the first run, unless that one was rejected and the copy may have
        run: then the request must not be reported as not run.
        """
        if self.winner is not None:
            return self.winner.error
        copy_error = None if self.copy is None else self.copy.error
        is_first_rejected = isinstance(self.first.error, RequestRejectedError)
        if is_first_rejected and isinstance(copy_error, RequestFailedError):
            return copy_error
        return self.first.error

    def find_outcomes(self) -> list[CopyOutcome]:
        """Return the outcome of the copy, and that of the run that was stopped."""
        assert self.copy is not None
        if isinstance(self.copy.error, RequestRejectedError):
            return [CopyOutcome.REJECTED]
        if self.copy.error is not None:
            return [CopyOutcome.FAILED]
        outcomes = [CopyOutcome.WON] if self.winner is self.copy else []
        # Without a winner, the caller has cancelled the request.
        stopped = self.copy if self.winner is None else self.loser
        if stopped is None:
            return outcomes
        lost = CopyOutcome.WASTED if stopped.is_head_sent else CopyOutcome.CANCELLED
        return [*outcomes, lost]

    def _is_contested(self) -> bool:
        """Whether two runs may still win."""
        if self.copy is None:
            return False
        return not (self.first.ended.is_set() or self.copy.ended.is_set())

    def _decide(self, winner: Contender) -> None:
        """Let a run answer the caller, and stop the other one."""
        self.winner = winner
        self.decided_at = trio.current_time()
        loser = self.loser
        if loser is not None:
            loser.scope.cancel()
