"""
Decides when and where a slow request is sent a second time.

It is for a service in which a few backend servers or requests are slow. It does nothing
for a service that is slow because it is loaded, where copies would add to the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.hedging import HedgeBudget
from oleanderweir_agent.copies.copy_metrics import CopyMetrics
from oleanderweir_agent.copies.copy_refusal import CopyRefusal
from oleanderweir_agent.copies.route_delays import RouteDelays


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration import ConfigurationView
    from oleanderweir_agent.copies.attempt_place import AttemptPlace
    from oleanderweir_agent.load import LoadEntry
    from oleanderweir_agent.load import ServiceGroup
    from oleanderweir_agent.queueing import Admission
    from oleanderweir_agent.queueing import WorkRequest
    from oleanderweir_agent.retries import AttemptCount


# Safe methods only (RFC 9110, 9.2.1): a copy of PUT or DELETE that runs late could undo
# what the caller wrote after the first answer.
COPYABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
# A service with a larger share of its slots in use is at capacity.
MAX_BUSY_SHARE = 0.9
# A copy that is overdue by more shows that this process stood still.
MAX_LATENESS_S = 0.05
# Bounds the answers that are held back until one of two is whole.
MAX_RACES = 64


@attrs.define(kw_only=True, eq=False)
class CopyPolicy:
    """
    Limits copies to ``max_copy_share`` of the service's requests that may be copied.

    The share is that of the ticket in force. ``races`` is the number of requests that
    run twice now.
    """

    service_name: str
    configuration: ConfigurationView
    admission: Admission
    group: ServiceGroup
    metrics: CopyMetrics = attrs.field(factory=CopyMetrics)
    budget: HedgeBudget = attrs.field(factory=lambda: HedgeBudget(max_share=0.0))
    delays: RouteDelays = attrs.field(factory=RouteDelays)
    races: int = 0

    def admit(self, request: WorkRequest, attempts: AttemptCount) -> bool:
        """Return whether a request may be copied; count it at its first attempt."""
        if not self._is_on() or request.method not in COPYABLE_METHODS:
            return False
        if attempts.count == 1:
            self.budget.on_candidate()
            self.metrics.count_candidate()
        return True

    def read_delay_s(self, request: WorkRequest) -> float | None:
        """Return the seconds after which a request is slow, None if that is unknown."""
        return self.delays.read(request.route)

    def select(
        self,
        request: WorkRequest,
        *,
        place: AttemptPlace,
        attempts: AttemptCount,
        due_at: float,
    ) -> str | CopyRefusal:
        """
        Return the peer for a copy, and use up a part of the budget for it.

        Return the reason if there is none. ``place`` is that of the first run, and
        ``due_at`` the trio time at which the request became slow.
        """
        refusal = self._find_refusal(request, attempts, due_at)
        if refusal is not None:
            return refusal
        candidates = self._find_candidates(request, place)
        if not candidates:
            return CopyRefusal.NO_PEER
        if not self.budget.take():
            return CopyRefusal.BUDGET
        entry = self.group.chooser.choose_for_offer(candidates)
        entry.offers += 1
        return entry.report.name

    def _is_on(self) -> bool:
        """Whether the ticket in force allows copies; apply its share to the budget."""
        service = self.configuration.service(self.service_name)
        max_share = 0.0 if service is None else service.max_copy_share
        if max_share != self.budget.max_share:
            self.budget.change_share(max_share)
            self.metrics.max_share.set(max_share)
        return max_share > 0.0

    def _find_refusal(
        self, request: WorkRequest, attempts: AttemptCount, due_at: float
    ) -> CopyRefusal | None:
        """Return why a request isn't copied, wherever there is room."""
        now = trio.current_time()
        reasons = {
            CopyRefusal.TURNED_OFF: not self._is_on(),
            CopyRefusal.LATE: now - due_at > MAX_LATENESS_S,
            CopyRefusal.ATTEMPTS: attempts.is_exhausted,
            CopyRefusal.DEADLINE: now + self._expected_s(request) >= request.deadline,
            CopyRefusal.TOO_MANY: self.races >= MAX_RACES,
            CopyRefusal.PANIC: self.group.table.is_panic,
            CopyRefusal.LOADED: self._is_loaded(),
        }
        return next((reason for reason, holds in reasons.items() if holds), None)

    def _expected_s(self, request: WorkRequest) -> float:
        """Return the expected service time of a request, in seconds."""
        return self.admission.service_times.expected_s(request.route)

    def _is_loaded(self) -> bool:
        """
        Whether the service as a whole has been at capacity for the last seconds.

        A full agent alone is no peak: it is what a slow backend server looks like.
        """
        fresh = self.group.table.fresh()
        reports = [entry.report for entry in fresh if entry.is_healthy]
        # The busy share is one of the slots; the limit may be lower than these.
        busy = sum(report.busy_share * report.slots for report in reports)
        return busy > MAX_BUSY_SHARE * sum(report.limit for report in reports)

    def _find_candidates(
        self, request: WorkRequest, place: AttemptPlace
    ) -> Sequence[LoadEntry]:
        """Return the peers with a free slot, of another availability zone if any."""
        servers = self.configuration.backend_servers(self.service_name)
        zones = {s.name: s.availability_zone for s in servers if not s.is_draining}
        is_long = self.admission.service_times.is_long(self._expected_s(request))
        free = [
            peer
            for peer in self._fresh_peers()
            if peer.is_healthy
            and peer.report.name in zones
            and peer.report.name != place.peer
            and peer.free_slots(is_long=is_long)
        ]
        first_zone = self._find_zone(place.peer or self.group.own_name)
        elsewhere = [peer for peer in free if zones[peer.report.name] != first_zone]
        return elsewhere or free

    def _find_zone(self, name: str) -> str | None:
        """Return the availability zone of a backend server, None if it is unknown."""
        servers = self.configuration.backend_servers(self.service_name)
        return next((s.availability_zone for s in servers if s.name == name), None)

    def _fresh_peers(self) -> list[LoadEntry]:
        """Return the other members that reported lately and aren't draining."""
        fresh = self.group.table.fresh()
        return [entry for entry in fresh if entry.report.name != self.group.own_name]
