"""Runs requests, and a second copy of those that are slow."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.copies.attempt_place import AttemptPlace
from oleanderweir_agent.copies.copy_log import log_copy_ended
from oleanderweir_agent.copies.copy_log import log_copy_sent
from oleanderweir_agent.copies.copy_outcome import CopyOutcome
from oleanderweir_agent.copies.copy_refusal import CopyRefusal
from oleanderweir_agent.copies.race import Race
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from oleanderweir_agent.copies.contender import Contender
    from oleanderweir_agent.copies.copy_policy import CopyPolicy
    from oleanderweir_agent.copies.work_dispatcher import WorkDispatcher
    from oleanderweir_agent.peers.peer_relay import PeerRelay
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder
    from oleanderweir_agent.retries import AttemptCount


# The peer of a copy rejects it if it would have to wait.
MAX_WAIT_S = 0.0
# At most so many checks of a slow request, each after one more delay.
MAX_CHECKS = 8
# Peers that may reject the copy of one request: a rejection costs no budget.
MAX_OFFERS = 2


class CopyRunner:
    """
    Runs one attempt of a request, with a copy at a peer if it is slow.

    Exactly one of the two answers the caller. ``policy`` decides on the copy, which the
    dispatcher doesn't know: it is offered to one peer at a time, and runs at most once.
    """

    def __init__(
        self, *, dispatcher: WorkDispatcher, policy: CopyPolicy, relay: PeerRelay
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
                await self._copy_when_slow(nursery, race, request, work, attempts)
        finally:
            self._settle(race, request)
        if race.error is not None:
            raise race.error
        self.policy.delays.record(work.route, race.decided_at - started_at)

    async def _run_first(self, race: Race, request: Request) -> None:
        """Run a request as if there were no copies."""
        await self.dispatcher.run_work(request, race.first, race.first.place)

    async def _copy_when_slow(
        self,
        nursery: trio.Nursery,
        race: Race,
        request: Request,
        work: WorkRequest,
        attempts: AttemptCount,
    ) -> None:
        """Send a copy if a request isn't answered by the delay of its route."""
        delay_s = self.policy.read_delay_s(work)
        if delay_s is None:
            self.policy.metrics.count_refusal(CopyRefusal.UNKNOWN_TIMES)
            return
        offers = 0
        for _ in range(MAX_CHECKS):
            race.due_at = trio.current_time() + delay_s
            with trio.move_on_at(race.due_at):
                await race.first.ended.wait()
            if race.first.ended.is_set() or race.copy is not None:
                return
            if offers == MAX_OFFERS:
                return
            peer = self._select(race, work, attempts)
            if not isinstance(peer, CopyRefusal):
                self._send_copy(nursery, race, request, peer, attempts)
                offers += 1
                continue
            self.policy.metrics.count_refusal(peer)
            if not peer.is_temporary:
                return

    def _select(
        self, race: Race, work: WorkRequest, attempts: AttemptCount
    ) -> str | CopyRefusal:
        """Return the peer for a copy, or why there is none."""
        if race.winner is not None:
            return CopyRefusal.ANSWERING
        return self.policy.select(
            work, place=race.first.place, attempts=attempts, due_at=race.due_at
        )

    def _send_copy(
        self,
        nursery: trio.Nursery,
        race: Race,
        request: Request,
        peer: str,
        attempts: AttemptCount,
    ) -> None:
        """Start a copy at a peer."""
        copy = race.add_copy(peer)
        attempts.count += 1
        self.policy.races += 1
        self.policy.metrics.count(CopyOutcome.SENT)
        log_copy_sent(request, first=race.first.place.peer, second=peer)
        nursery.start_soon(self._run_copy, race, copy, request, peer, attempts)

    async def _run_copy(
        self,
        race: Race,
        copy: Contender,
        request: Request,
        peer: str,
        attempts: AttemptCount,
    ) -> None:
        """Offer a copy to a peer; if it rejects, all is as if there had been none."""
        max_share = self.policy.budget.max_share
        await copy.run(
            partial(
                self.relay.offer,
                peer=peer,
                request=request,
                responder=copy,
                max_wait_s=MAX_WAIT_S,
            )
        )
        if isinstance(copy.error, RequestRejectedError):
            attempts.count -= 1
            self.policy.budget.give_back(taken_at_share=max_share)
            self._settle(race, request)
            race.remove_copy(peer)

    def _settle(self, race: Race, request: Request) -> None:
        """Count what became of a copy, if there is one, and of the loser."""
        if race.copy is None:
            return
        self.policy.races -= 1
        outcomes = race.find_outcomes()
        for outcome in outcomes:
            self.policy.metrics.count(outcome)
        log_copy_ended(request, outcomes)
