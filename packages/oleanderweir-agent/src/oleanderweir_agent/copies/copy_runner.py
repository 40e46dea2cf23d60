"""Runs requests, and a second copy of those that are slow."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.copies.attempt_place import AttemptPlace
from oleanderweir_agent.copies.copy_outcome import CopyOutcome
from oleanderweir_agent.copies.copy_refusal import CopyRefusal
from oleanderweir_agent.copies.race import Race
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from collections.abc import Iterator

    from oleanderweir_agent.copies.copy_policy import CopyPolicy
    from oleanderweir_agent.peers.peer_relay import PeerRelay
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.request_dispatcher import RequestDispatcher
    from oleanderweir_agent.requests.responder import Responder
    from oleanderweir_agent.retries import AttemptCount


# The peer of a copy rejects it if it would have to wait.
MAX_WAIT_S = 0.0

logger = logging.getLogger(__name__)


class CopyRunner:
    """
    Runs one attempt of a request, with a copy at a peer if it is slow.

    Exactly one of the two answers the caller. ``policy`` decides on the copy, which the
    dispatcher doesn't know: it is offered to one peer, once.
    """

    def __init__(
        self, *, dispatcher: RequestDispatcher, policy: CopyPolicy, relay: PeerRelay
    ) -> None:
        self.dispatcher = dispatcher
        self.policy = policy
        self.relay = relay

    async def run_work(
        self, request: Request, responder: Responder, attempts: AttemptCount
    ) -> None:
        """
        Run a request that is no feed; ``attempts`` includes this attempt.

        Raise ``RequestRejectedError`` if neither run took place, and
        ``RequestFailedError`` if one may have and none was answered.
        """
        work = WorkRequest(
            method=request.method, path=request.path, deadline=request.deadline
        )
        if not self.policy.admit(work, attempts):
            await self.dispatcher.run_work(request, responder, AttemptPlace())
            return
        race = Race(responder=responder)
        started_at = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    race.first.run, partial(self._run_first, race, request)
                )
                if await self._wait_until_slow(race, work):
                    self._send_copy(nursery, race, request, work, attempts)
        finally:
            self._count_outcome(race, request)
        if race.error is not None:
            raise race.error
        self.policy.delays.record(work.route, race.decided_at - started_at)

    async def _run_first(self, race: Race, request: Request) -> None:
        """Run a request as if there were no copies."""
        await self.dispatcher.run_work(request, race.first, race.first.place)

    async def _wait_until_slow(self, race: Race, work: WorkRequest) -> bool:
        """Return whether a request isn't answered by the delay of its route."""
        delay_s = self.policy.read_delay_s(work)
        if delay_s is None:
            self.policy.metrics.count_refusal(CopyRefusal.UNKNOWN_TIMES)
            return False
        race.due_at = trio.current_time() + delay_s
        with trio.move_on_at(race.due_at):
            await race.first.ended.wait()
        return not race.first.ended.is_set()

    def _send_copy(
        self,
        nursery: trio.Nursery,
        race: Race,
        request: Request,
        work: WorkRequest,
        attempts: AttemptCount,
    ) -> None:
        """Send a copy of a slow request, or count why not."""
        peer = self._select(race, work, attempts)
        if isinstance(peer, CopyRefusal):
            self.policy.metrics.count_refusal(peer)
            return
        attempts.count += 1
        self.policy.races += 1
        self.policy.metrics.count(CopyOutcome.SENT)
        copy = race.add_copy(peer)
        nursery.start_soon(copy.run, partial(self._run_copy, race, request, peer))
        logger.info(
            "a slow request was sent to a second backend server",
            extra={
                "code": "copy_sent",
                "request_id": request.request_id,
                "first": race.first.place.peer or self.policy.group.own_name,
                "second": peer,
            },
        )

    def _select(
        self, race: Race, work: WorkRequest, attempts: AttemptCount
    ) -> str | CopyRefusal:
        """Return the peer for a copy, or why there is none."""
        if race.winner is not None:
            return CopyRefusal.ANSWERING
        return self.policy.select(
            work, place=race.first.place, attempts=attempts, due_at=race.due_at
        )

    async def _run_copy(self, race: Race, request: Request, peer: str) -> None:
        """Offer a copy to its peer."""
        assert race.copy is not None
        await self.relay.offer(
            peer=peer, request=request, responder=race.copy, max_wait_s=MAX_WAIT_S
        )

    def _count_outcome(self, race: Race, request: Request) -> None:
        """Count what became of a copy, if there is one, and of the loser."""
        if race.copy is None:
            return
        self.policy.races -= 1
        outcomes = list(_find_outcomes(race))
        for outcome in outcomes:
            self.policy.metrics.count(outcome)
        logger.info(
            "a request that was sent twice has ended",
            extra={
                "code": "copy_ended",
                "request_id": request.request_id,
                "is_won": race.winner is race.copy,
                "outcomes": [outcome.value for outcome in outcomes],
            },
        )


def _find_outcomes(race: Race) -> Iterator[CopyOutcome]:
    """Return the outcome of the copy, and that of the run that was stopped."""
    assert race.copy is not None
    if isinstance(race.copy.error, RequestRejectedError):
        yield CopyOutcome.REJECTED
    elif race.copy.error is not None:
        yield CopyOutcome.FAILED
    elif race.winner is race.copy:
        yield CopyOutcome.WON
    stopped = race.loser
    if race.winner is None and race.copy.error is None:
        # The caller has cancelled the request.
        stopped = race.copy
    if stopped is not None:
        yield CopyOutcome.WASTED if stopped.is_head_sent else CopyOutcome.CANCELLED
