"""Places the opening packets of new flows on backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.desired_state import Topic
from oleanderweir.flows import route_address
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.flow_service import choose_flow_service
from oleanderweir_balancer.forwarding.opening_attempts import OpeningAttempts
from oleanderweir_balancer.forwarding.queued_opening import QueuedOpening


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.desired_state import Route
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.lookups import OwnerLookup
    from oleanderweir_balancer.forwarding.balancer_transport import BalancerTransport
    from oleanderweir_balancer.forwarding.flow_cache import FlowCache
    from oleanderweir_balancer.forwarding.opening_hedger import OpeningHedger
    from oleanderweir_balancer.forwarding.placement_policy import PlacementPolicy


# Opening packets queued after a start until the first published state arrives.
MAX_QUEUED_OPENINGS = 2048
# Callers give up a flow that isn't open after this time.
OPENING_LIFETIME_S = 1.4
# How long attempts are kept after the last one.
ATTEMPTS_TTL_S = 2.0


class OpeningPlacer:
    """
    Places opening packets by load, and again if an agent returns them.

    They are queued until the published state arrives. A flow that can't be placed is
    reset, unless a backend server may still open it. The flow cache and the lookups
    are those of the balancer: a copy of an opening packet whose flow is open already,
    or is being looked up, isn't placed.
    """

    def __init__(
        self,
        *,
        register: StateRegister,
        placement: PlacementPolicy,
        transport: BalancerTransport,
        cache: FlowCache,
        owner_lookup: OwnerLookup,
        hedger: OpeningHedger,
    ) -> None:
        self.register = register
        self.placement = placement
        self.transport = transport
        self.cache = cache
        self.owner_lookup = owner_lookup
        self.hedger = hedger
        self.queued_openings: list[QueuedOpening] = []
        self.attempts: dict[FlowKey, OpeningAttempts] = {}

    def open(self, packet: Packet, *, arrived_at: float, now: float) -> None:
        """Place a new flow, or send a repeated opening packet to the same agent."""
        if self.register.desired is None or not self._has_backend_listing():
            self._queue_opening(packet, arrived_at=arrived_at)
            return
        self.owner_lookup.discard_failed(packet.key)
        self.hedger.cancel(packet.key)
        if self._is_late(packet, arrived_at=arrived_at):
            return
        route = self.register.desired.routes.get(route_address(packet.key))
        if route is None:
            attempts = self._find_attempts(packet.key, now=now)
            self._give_up(packet, attempts, reason="no_route", now=now)
            return
        if self.cache.is_open(packet.key):
            # The caller uses the port of an earlier flow again.
            self.cache.discard(packet.key)
        flow = self.cache.get(packet.key, now=now)
        agent = "" if flow is None else flow.latest_agent
        if flow is not None and not self.placement.is_silent(agent, now=now):
            self.transport.deliver(agent, packet, DeliveryPurpose.OPEN)
            return
        self._place(packet, route, now=now)

    def open_delayed(self, packet: Packet, *, arrived_at: float, now: float) -> None:
        """
        Place an opening packet that may have arrived at ``arrived_at`` already.

        Its caller may have sent a copy since, which opened the flow elsewhere.
        """
        self.transport.log(
            "opening_delayed",
            packet.key,
            copies=packet.acknowledged,
            waited_ms=round((now - arrived_at) * 1000),
        )
        self.attempts.setdefault(
            packet.key, OpeningAttempts(started_at=arrived_at, updated_at=now)
        )
        self.open(packet, arrived_at=arrived_at, now=now)

    def retry(
        self,
        host: str,
        packet: Packet,
        reason: ReturnReason,
        *,
        placed_at: float,
        now: float,
    ) -> None:
        """Place an opening packet again, or reset its flow after the last attempt."""
        attempts = self.record_return(
            host, packet, reason, placed_at=placed_at, now=now
        )
        if attempts.is_exhausted:
            self._give_up(packet, attempts, reason="refused_everywhere", now=now)
            return
        self.open(packet, arrived_at=attempts.started_at, now=now)

    def record_return(
        self,
        host: str,
        packet: Packet,
        reason: ReturnReason,
        *,
        placed_at: float,
        now: float,
    ) -> OpeningAttempts:
        """Record that an agent returned an opening packet; return all its attempts."""
        self.hedger.cancel(packet.key)
        attempts = self.attempts.setdefault(
            packet.key, OpeningAttempts(started_at=placed_at, updated_at=now)
        )
        attempts.updated_at = now
        if reason is ReturnReason.BUSY:
            attempts.busy.add(host)
        elif reason is ReturnReason.COLD:
            attempts.on_cold(host)
        elif reason is ReturnReason.UNANSWERED:
            attempts.unanswered.add(host)
        elif reason is ReturnReason.EVACUATED:
            attempts.evacuated.add(host)
        else:
            attempts.refused.add(host)
        return attempts

    def place_queued(self, *, now: float) -> None:
        """Place the opening packets that were queued."""
        queued, self.queued_openings = self.queued_openings, []
        for opening in queued:
            self._open_queued(opening, now=now)

    def expire(self, *, now: float) -> None:
        """Remove attempts that were last updated over ``ATTEMPTS_TTL_S`` ago."""
        limit = now - ATTEMPTS_TTL_S
        self.attempts = {
            key: attempts
            for key, attempts in self.attempts.items()
            if attempts.updated_at > limit
        }

    def _is_late(self, packet: Packet, *, arrived_at: float) -> bool:
        """Whether an opening packet is placed after another copy opened its flow."""
        if self.owner_lookup.is_in_progress(packet.key):
            return True
        flow = self.cache.flows.get(packet.key)
        if flow is None or not flow.is_open:
            return False
        # The first opening packet of a new flow, by a caller that uses a port again,
        # arrives after the earlier flow and is no copy.
        return packet.acknowledged > 0 or arrived_at < flow.stored_at

    def _place(self, packet: Packet, route: Route, *, now: float) -> None:
        """Select the backend server of a new flow and send it the opening packet."""
        key = packet.key
        attempts = self._find_attempts(key, now=now)
        service = choose_flow_service(route, key)
        record = self._select_backend(service, key, attempts, now=now)
        if record is None:
            reason = self._why_unplaced(service, attempts)
            self._give_up(packet, attempts, reason=reason, now=now)
            return
        may_be_open = _may_be_open(packet, attempts, now=now)
        self.cache.put(
            key, record.host, now=now, is_open=False, is_unconfirmed=may_be_open
        )
        if not may_be_open and not attempts.excluded:
            self.hedger.on_placed(packet, route, now=now)
        purpose = DeliveryPurpose.OPEN
        if attempts.is_last_resort(record.host):
            purpose = DeliveryPurpose.OPEN_AS_LAST_RESORT
        self.transport.deliver(record.host, packet, purpose)
        self.transport.log(
            "flow_placed",
            key,
            service=service,
            agent=record.host,
            backend_server=record.identifier,
            copies=packet.acknowledged,
            refused=len(attempts.refused | attempts.unanswered),
            busy=len(attempts.busy),
            cold=len(attempts.cold),
        )

    def _select_backend(
        self, service: str, key: FlowKey, attempts: OpeningAttempts, *, now: float
    ) -> BackendRecord | None:
        """
        Return the next backend server.

        One that is busy or in its cold start is tried again only if no other is left,
        and the busy ones first: they have no limit that they must hold.
        """
        candidates = self._outside_evacuated_zones(service, attempts)
        failed = attempts.failed
        for excluded in (attempts.excluded, failed | attempts.cold, failed):
            record = self.placement.place(
                candidates, key=key, excluding=excluded, now=now
            )
            if record is not None:
                return record
        return None

    def _why_unplaced(self, service: str, attempts: OpeningAttempts) -> str:
        """Return the reason to log for a flow without a backend server."""
        has_records = bool(self.register.backends_of(service))
        if has_records and not self._outside_evacuated_zones(service, attempts):
            return "zones_evacuated"
        return "no_backend_server"

    def _outside_evacuated_zones(
        self, service: str, attempts: OpeningAttempts
    ) -> list[BackendRecord]:
        """
        Return the backend servers of a service whose zone isn't evacuated.

        An agent that returned the flow for this reason has the newer state: the others
        of its zone would return it too.
        """
        records = self.register.unevacuated_backends_of(service)
        if not attempts.evacuated:
            return records
        zones = {r.availability_zone for r in records if r.host in attempts.evacuated}
        return [record for record in records if record.availability_zone not in zones]

    def _find_attempts(self, key: FlowKey, *, now: float) -> OpeningAttempts:
        """Return the attempts of a flow, or new ones, which aren't recorded yet."""
        return self.attempts.get(key) or OpeningAttempts(started_at=now, updated_at=now)

    def _has_backend_listing(self) -> bool:
        """Whether the published backend servers were read at least once."""
        return self.register.revision(Topic.BACKEND_SERVERS) > 0

    def _queue_opening(self, packet: Packet, *, arrived_at: float) -> None:
        """Queue an opening packet, unless too many are queued."""
        if len(self.queued_openings) < MAX_QUEUED_OPENINGS:
            opening = QueuedOpening(packet=packet, arrived_at=arrived_at)
            self.queued_openings.append(opening)

    def _open_queued(self, opening: QueuedOpening, *, now: float) -> None:
        """Place a queued opening packet, by its age, unless its caller has given up."""
        if now - opening.arrived_at > OPENING_LIFETIME_S:
            return
        self.open_delayed(opening.packet, arrived_at=opening.arrived_at, now=now)

    def _give_up(
        self, packet: Packet, attempts: OpeningAttempts, *, reason: str, now: float
    ) -> None:
        """Reset a flow that can't be placed, unless it may open late somewhere."""
        self.attempts.pop(packet.key, None)
        if _may_be_open(packet, attempts, now=now):
            self.transport.log("opening_unanswered", packet.key, reason=reason)
        else:
            self.transport.send_reset(packet, reason=reason)


def _may_be_open(packet: Packet, attempts: OpeningAttempts, *, now: float) -> bool:
    """Whether an earlier copy, which another balancer placed, may open the flow."""
    return attempts.may_have_opened(now=now) or packet.acknowledged > 0
