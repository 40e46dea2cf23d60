"""Dispatches requests to the local backend server or to a peer agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.copies.attempt_place import AttemptPlace
from oleanderweir_agent.metrics.relay_outcome import RelayOutcome
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from oleanderweir_agent.load import PeerOffer
    from oleanderweir_agent.load import RelayPolicy
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.peers.peer_relay import PeerRelay
    from oleanderweir_agent.requests.local_runner import LocalRunner
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder


class RequestDispatcher:
    """
    Runs one attempt of a request, locally or at a peer.

    ``policy`` decides when a request is offered to a peer. A peer either rejects the
    offer, which guarantees that the request did not run there, or accepts it once.
    Both methods raise ``RequestRejectedError`` if the request did not run, and
    ``RequestFailedError`` if it may have run.
    """

    def __init__(
        self,
        *,
        runner: LocalRunner,
        policy: RelayPolicy,
        relay: PeerRelay,
        metrics: AgentMetrics,
    ) -> None:
        self.runner = runner
        self.policy = policy
        self.relay = relay
        self.metrics = metrics

    async def run_feed(self, request: Request, responder: Responder) -> None:
        """Open a feed locally, or at a peer if this agent rejects it."""
        try:
            await self.runner.run_feed(request, responder)
        except RequestRejectedError as rejection:
            place = AttemptPlace()
            await self._offer_to_peers(request, responder, rejection, place)

    async def run_work(
        self, request: Request, responder: Responder, place: AttemptPlace
    ) -> None:
        """Run a request locally or at a peer, and keep ``place`` up to date."""
        work = self._build_work_request(request)
        while True:
            offer = self.policy.offer_before_waiting(work, avoided=place.avoided)
            if offer and await self._send_offer(offer, request, responder, place):
                return
            try:
                await self.runner.run_work(
                    request, responder, self.policy.with_queue_timeout(work)
                )
            except RequestRejectedError as rejection:
                if rejection.reason is not RejectionReason.QUEUE_TIMEOUT:
                    await self._offer_to_peers(request, responder, rejection, place)
                    return
            else:
                return
            work = attrs.evolve(work, arrived_at=request.arrived_at)

    def _build_work_request(self, request: Request) -> WorkRequest:
        """Return the properties of a request that admission depends on."""
        return WorkRequest(
            method=request.method,
            path=request.path,
            deadline=request.deadline,
            ignores_health=self.policy.group.table.is_panic,
        )

    async def _offer_to_peers(
        self,
        request: Request,
        responder: Responder,
        rejection: RequestRejectedError,
        place: AttemptPlace,
    ) -> None:
        """Offer a locally rejected request to peers; re-raise if none accepts it."""
        tried: set[str] = set()
        work = self._build_work_request(request)
        while offer := self.policy.offer_rejected(
            work, tried=tried, avoided=place.avoided
        ):
            tried.add(offer.peer)
            if await self._send_offer(offer, request, responder, place):
                return
        raise rejection

    async def _send_offer(
        self,
        offer: PeerOffer,
        request: Request,
        responder: Responder,
        place: AttemptPlace,
    ) -> bool:
        """Send an offer; return whether the peer completed the request."""
        place.peer = offer.peer
        try:
            await self.relay.offer(
                peer=offer.peer,
                request=request,
                responder=responder,
                max_wait_s=offer.request.max_wait_s,
            )
        except RequestRejectedError:
            place.peer = None
            self.metrics.relays[RelayOutcome.REJECTED].inc()
            return False
        except RequestFailedError as error:
            if error.reason is FailureReason.PEER_LOST:
                self.metrics.relays[RelayOutcome.LOST].inc()
            raise
        self.metrics.relays[RelayOutcome.ACCEPTED].inc()
        return True
