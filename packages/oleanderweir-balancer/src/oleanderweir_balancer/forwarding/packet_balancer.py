"""A balancer that forwards packets to the agents that own their flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.flows import route_address
from oleanderweir.lookups import OwnerLookup
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.flow_cache import FlowCache
from oleanderweir_balancer.forwarding.opening_attempts import OpeningAttempts
from oleanderweir_balancer.forwarding.queued_opening import QueuedOpening


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.desired_state import Route
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import Message
    from oleanderweir_balancer.forwarding.balancer_transport import BalancerTransport
    from oleanderweir_balancer.forwarding.placement_policy import PlacementPolicy


# Opening packets queued after a start until the first published state arrives.
MAX_QUEUED_OPENINGS = 2048
# Callers give up a flow that isn't open after this time.
OPENING_LIFETIME_S = 1.4
# How long attempts are kept after the last one.
ATTEMPTS_TTL_S = 2.0
# Spreads callers over the shares of a route (Knuth's multiplicative hash).
SHARE_HASH_FACTOR = 2654435761
SHARE_HASH_SHIFT = 8


class PacketBalancer:
    """
    Selects the agent for each packet of a caller.

    Opening packets are placed by load. Every other packet goes to the agent that
    owns its flow, which is looked up if it isn't cached. An open flow is reset
    only if no backend server holds it, by the denials of agents and the published
    state.
    """

    def __init__(
        self,
        *,
        flow_ttl_s: float,
        codec: PacketCodec,
        register: StateRegister,
        members: Members,
        placement: PlacementPolicy,
        transport: BalancerTransport,
    ) -> None:
        self.codec = codec
        self.register = register
        self.members = members
        self.placement = placement
        self.transport = transport
        self.cache = FlowCache(idle_timeout_s=flow_ttl_s)
        self.owner_lookup = OwnerLookup(
            register=register, members=members, transport=transport, use_delegate=True
        )
        self.queued_openings: list[QueuedOpening] = []
        self.attempts: dict[FlowKey, OpeningAttempts] = {}
        self.last_caller_packet_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether new and open flows can be forwarded."""
        return self.register.desired is not None and bool(self.register.backends)

    def on_caller_packet(self, data: bytes) -> None:
        """Forward one datagram of a caller."""
        packet = self.codec.decode_from_caller(data)
        if packet is None:
            return
        now = trio.current_time()
        self.last_caller_packet_at = now
        if packet.is_opening:
            self._open(packet, arrived_at=now, now=now)
            return
        flow = self.cache.get(packet.key, now=now)
        if flow is None:
            self.owner_lookup.look_up(packet, now=now)
        else:
            flow.is_open = True
            flow.is_closed_by_caller |= packet.is_final
            self.transport.deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)

    def on_message(self, host: str, message: Message) -> None:
        """Process a message of an agent."""
        now = trio.current_time()
        if isinstance(message, LoadReport):
            self.placement.record_report(host, message, now=now)
        elif isinstance(message, OwnerNotice):
            self._on_owner(message.host or host, message.key, now=now)
        elif isinstance(message, ReturnedPacket):
            self._on_returned_packet(host, message, now=now)

    def _on_owner(self, owner: str, key: FlowKey, *, now: float) -> None:
        """Cache the owner of a flow, and complete its lookup."""
        cached = self.cache.flows.get(key)
        if cached is not None and cached.agent != owner:
            self.transport.log("owner_changed", key, agent=owner, before=cached.agent)
        self.cache.put(key, owner, now=now, is_open=True)
        self.owner_lookup.on_owner(owner, key, now=now)

    def on_state_change(self, topic: Topic) -> None:
        """Update the fleet size, send deferred queries and place queued openings."""
        del topic
        now = trio.current_time()
        self.placement.set_fleet_size(len(self.register.backends))
        self.owner_lookup.query_deferred(now=now)
        if not self.is_ready or not self.queued_openings:
            return
        queued, self.queued_openings = self.queued_openings, []
        for opening in queued:
            self._open_queued(opening, now=now)

    def retry_lookups(self) -> None:
        """Query again for flows whose owner is not known yet."""
        self.owner_lookup.retry(now=trio.current_time())

    def expire(self) -> None:
        """Remove expired flows, lookups, loads and attempts."""
        now = trio.current_time()
        self.cache.expire(now=now)
        self.owner_lookup.expire(now=now)
        hosts = {r.host for r in self.register.backends.values()}
        self.placement.discard_absent(hosts | set(self.members.members))
        limit = now - ATTEMPTS_TTL_S
        self.attempts = {
            key: attempts
            for key, attempts in self.attempts.items()
            if attempts.updated_at > limit
        }

    def _open(self, packet: Packet, *, arrived_at: float, now: float) -> None:
        """Place a new flow, or send a repeated opening packet to the same agent."""
        if self.register.desired is None or not self._has_backend_listing():
            self._queue_opening(packet, now=now)
            return
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
        if flow is not None and not self.placement.is_silent(flow.agent, now=now):
            self.transport.deliver(flow.agent, packet, DeliveryPurpose.OPEN)
            return
        self._place(packet, route, now=now)

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
        number = int.from_bytes(key[:6], "big") * SHARE_HASH_FACTOR >> SHARE_HASH_SHIFT
        service = route.choose_service(number)
        record = self._select_backend(service, key, attempts, now=now)
        if record is None:
            self._give_up(packet, attempts, reason="no_backend_server", now=now)
            return
        self.cache.put(key, record.host, now=now, is_open=False)
        purpose = DeliveryPurpose.OPEN
        if attempts.must_accept(record.host):
            purpose = DeliveryPurpose.OPEN_EVEN_IF_BUSY
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
        )

    def _find_attempts(self, key: FlowKey, *, now: float) -> OpeningAttempts:
        """Return the attempts of a flow, or new ones, which aren't recorded yet."""
        return self.attempts.get(key) or OpeningAttempts(started_at=now, updated_at=now)

    def _select_backend(
        self, service: str, key: FlowKey, attempts: OpeningAttempts, *, now: float
    ) -> BackendRecord | None:
        """Return the next backend server; a busy one again only if no other is left."""
        candidates = self.register.backends_of(service)
        return self.placement.place(
            candidates, key=key, excluding=attempts.excluded, now=now
        ) or self.placement.place(
            candidates,
            key=key,
            excluding=attempts.refused | attempts.unanswered,
            now=now,
        )

    def _has_backend_listing(self) -> bool:
        """Whether the published backend servers were read at least once."""
        return self.register.revision(Topic.BACKEND_SERVERS) > 0

    def _queue_opening(self, packet: Packet, *, now: float) -> None:
        if len(self.queued_openings) < MAX_QUEUED_OPENINGS:
            opening = QueuedOpening(packet=packet, arrived_at=now)
            self.queued_openings.append(opening)

    def _open_queued(self, opening: QueuedOpening, *, now: float) -> None:
        """Place a queued opening packet, by its age, unless its caller has given up."""
        if now - opening.arrived_at > OPENING_LIFETIME_S:
            return
        packet = opening.packet
        self.attempts.setdefault(
            packet.key, OpeningAttempts(started_at=opening.arrived_at, updated_at=now)
        )
        self._open(packet, arrived_at=opening.arrived_at, now=now)

    def _on_returned_packet(
        self, host: str, returned: ReturnedPacket, *, now: float
    ) -> None:
        """Retry, look up or reset the flow of a packet that an agent returned."""
        packet = self.codec.decode_from_caller(returned.data)
        if packet is None:
            return
        reason = returned.reason
        self.transport.log(
            "packet_returned", packet.key, agent=host, reason=reason.name
        )
        if packet.is_opening and self._is_open(packet.key):
            # The caller has acknowledged the answer to another copy.
            return
        if reason is ReturnReason.UNKNOWN:
            self.owner_lookup.on_unknown(host, packet, now=now)
            return
        if reason is ReturnReason.HELD_NOWHERE:
            self._on_no_owner(host, packet, now=now)
            return
        # Unknown if an earlier agent of the flow returns the packet.
        placed_at = float("-inf")
        flow = self.cache.flows.get(packet.key)
        if flow is not None and flow.agent == host:
            placed_at = flow.stored_at
            self.cache.discard(packet.key)
        if packet.is_opening:
            self._retry_opening(host, packet, reason, placed_at=placed_at, now=now)
        elif reason is ReturnReason.LOST and flow is not None and flow.agent == host:
            self.transport.send_reset(packet, reason="flow_lost")
        elif reason is ReturnReason.NOT_TRIED:
            # Not a denial: the agent was restarted, and its backend server may still
            # hold the flow.
            self.owner_lookup.look_up(packet, now=now)
        elif flow is not None and flow.agent != host:
            # The owner was found at another agent in the meantime.
            self.transport.deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)
        else:
            self.owner_lookup.on_denial(host, packet, now=now)

    def _on_no_owner(self, host: str, packet: Packet, *, now: float) -> None:
        """Fail the lookup of a flow, unless its owner was found in the meantime."""
        flow = self.cache.flows.get(packet.key)
        if flow is None:
            self.owner_lookup.on_no_owner(host, packet, now=now)
        else:
            self.transport.deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)

    def _is_open(self, key: FlowKey) -> bool:
        """Whether the caller has sent packets after the opening packet of a flow."""
        return self.cache.is_open(key) or self.owner_lookup.is_in_progress(key)

    def _retry_opening(
        self,
        host: str,
        packet: Packet,
        reason: ReturnReason,
        *,
        placed_at: float,
        now: float,
    ) -> None:
        """Place an opening packet again, or reset its flow after the last attempt."""
        attempts = self.attempts.setdefault(
            packet.key, OpeningAttempts(started_at=placed_at, updated_at=now)
        )
        attempts.updated_at = now
        if reason is ReturnReason.BUSY:
            attempts.busy.add(host)
        elif reason is ReturnReason.UNANSWERED:
            attempts.unanswered.add(host)
        else:
            attempts.refused.add(host)
        if attempts.is_exhausted:
            self._give_up(packet, attempts, reason="refused_everywhere", now=now)
            return
        self._open(packet, arrived_at=attempts.started_at, now=now)

    def _give_up(
        self, packet: Packet, attempts: OpeningAttempts, *, reason: str, now: float
    ) -> None:
        """Reset a flow that can't be placed, unless it may open late somewhere."""
        self.attempts.pop(packet.key, None)
        # Another balancer may have placed an earlier copy.
        if attempts.may_have_opened(now=now) or packet.acknowledged > 0:
            self.transport.log("opening_unanswered", packet.key, reason=reason)
        else:
            self.transport.send_reset(packet, reason=reason)
