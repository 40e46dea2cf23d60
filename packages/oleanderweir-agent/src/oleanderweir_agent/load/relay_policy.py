"""The policy that decides when to offer a request to a peer agent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.load.peer_offer import PeerOffer


if TYPE_CHECKING:
    from collections.abc import Collection

    from oleanderweir_agent.load.service_group import ServiceGroup
    from oleanderweir_agent.queueing import Admission
    from oleanderweir_agent.queueing import WorkRequest


MAX_OFFERS = 2
QUEUE_TIMEOUT_RUNS = 1.0
MIN_QUEUE_TIMEOUT_S = 0.02
MAX_WAIT_RATIO = 0.5


@attrs.define(kw_only=True, eq=False)
class RelayPolicy:
    """
    Decides when a request is offered to a peer, and with which maximum wait.

    A request that would wait in the local queue is offered to one peer, which accepts
    it only if its own expected wait is at most ``max_wait_ratio`` times as long. If
    the peer rejects it, the request is queued locally for about one median service
    time and then offered again. A request that the local admission rejects is offered
    to up to ``max_offers`` peers, which may queue it without a bound on the wait.
    """

    admission: Admission
    group: ServiceGroup
    max_offers: int = MAX_OFFERS
    queue_timeout_runs: float = QUEUE_TIMEOUT_RUNS
    min_queue_timeout_s: float = MIN_QUEUE_TIMEOUT_S
    max_wait_ratio: float = MAX_WAIT_RATIO

    def with_queue_timeout(self, request: WorkRequest) -> WorkRequest:
        """Return the request with the queue timeout between two offers."""
        median_s = self.admission.service_times.median_s()
        queue_timeout_s = max(
            self.min_queue_timeout_s, self.queue_timeout_runs * median_s
        )
        return attrs.evolve(request, queue_timeout_s=queue_timeout_s)

    def offer_before_waiting(
        self, request: WorkRequest, *, avoided: Collection[str] = ()
    ) -> PeerOffer | None:
        """
        Return an offer if the request would wait locally, else None.

        It isn't for the peers in ``avoided``, which run a copy of the request.
        """
        own_wait_s = self.admission.forecast_wait_s(request)
        if own_wait_s <= 0.0:
            return None
        return self.make_offer(request, own_wait_s=own_wait_s, tried=avoided)

    def offer_rejected(
        self,
        request: WorkRequest,
        *,
        tried: Collection[str],
        avoided: Collection[str] = (),
    ) -> PeerOffer | None:
        """
        Return an offer to an untried peer after a local rejection, if any.

        It isn't for the peers in ``avoided``, which run a copy of the request.
        """
        if len(tried) >= self.max_offers:
            return None
        excluded = {*tried, *avoided}
        return self.make_offer(request, own_wait_s=math.inf, tried=excluded)

    def make_offer(
        self, request: WorkRequest, *, own_wait_s: float, tried: Collection[str] = ()
    ) -> PeerOffer | None:
        """Return an offer to a peer with a shorter wait, or None if there is none."""
        service_times = self.admission.service_times
        peer = self.group.choose_peer(
            exclude=tried,
            is_long=service_times.is_long(service_times.expected_s(request.route)),
            own_wait_s=own_wait_s,
        )
        if peer is None:
            return None
        offered = attrs.evolve(
            request,
            is_relayed=True,
            max_wait_s=self.max_wait_ratio * own_wait_s,
            queue_timeout_s=math.inf,
            arrived_at=None,
        )
        return PeerOffer(peer=peer, request=offered)
