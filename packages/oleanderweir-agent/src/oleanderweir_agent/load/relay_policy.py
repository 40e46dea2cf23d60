"""When a request is offered to a peer."""

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
PATIENCE_RUNS = 1.0
MIN_PATIENCE_S = 0.02
WAIT_GAIN = 0.5


@attrs.define(kw_only=True, eq=False)
class RelayPolicy:
    """
    When a request is offered to a peer, and on which terms.

    A request that would wait here is offered to one peer, which takes it only if it
    waits there at most ``wait_gain`` times as long. If it does not, the request waits
    here, and is offered again after about the time of one run. A request that is
    refused here is offered to ``max_offers`` peers, which may let it wait.
    """

    admission: Admission
    group: ServiceGroup
    max_offers: int = MAX_OFFERS
    patience_runs: float = PATIENCE_RUNS
    min_patience_s: float = MIN_PATIENCE_S
    wait_gain: float = WAIT_GAIN

    def with_patience(self, request: WorkRequest) -> WorkRequest:
        """Return the request as it waits here between two offers."""
        typical_s = self.admission.service_times.typical_s()
        patience_s = max(self.min_patience_s, self.patience_runs * typical_s)
        return attrs.evolve(request, patience_s=patience_s)

    def offer_before_waiting(self, request: WorkRequest) -> PeerOffer | None:
        """Return an offer of a request that would wait here, None if it stays."""
        own_wait_s = self.admission.forecast_wait_s(request)
        if own_wait_s <= 0.0:
            return None
        return self.offer(request, own_wait_s=own_wait_s)

    def offer_refused(
        self, request: WorkRequest, *, tried: Collection[str]
    ) -> PeerOffer | None:
        """Return an offer of a request that was refused here and by those tried."""
        if len(tried) >= self.max_offers:
            return None
        return self.offer(request, own_wait_s=math.inf, tried=tried)

    def offer(
        self, request: WorkRequest, *, own_wait_s: float, tried: Collection[str] = ()
    ) -> PeerOffer | None:
        """Return an offer to a peer where the request waits less, None without one."""
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
            max_wait_s=self.wait_gain * own_wait_s,
            patience_s=math.inf,
            arrived_at=None,
        )
        return PeerOffer(peer=peer, request=offered)
