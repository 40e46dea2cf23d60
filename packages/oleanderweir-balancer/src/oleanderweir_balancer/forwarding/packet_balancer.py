"""A balancer that forwards packets to the agents that own their flows."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.flows import caller_host
from oleanderweir.flows import describe_flow
from oleanderweir.flows import route_address
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.flow_cache import FlowCache
from oleanderweir_balancer.forwarding.lookup_table import LookupTable


if TYPE_CHECKING:
    from oleanderweir.desired_state import Route
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import Message
    from oleanderweir_balancer.forwarding.lookup import Lookup
    from oleanderweir_balancer.forwarding.packet_balancer_settings import (
        PacketBalancerSettings,
    )
    from oleanderweir_balancer.forwarding.placement import Placement


logger = logging.getLogger(__name__)

# Backend servers that one opening packet is tried at.
MAX_OPENING_TRIES = 3
# Packets that wait for the first published state after a start.
MAX_WAITING_PACKETS = 2048
# How long an opening's refusals are remembered.
TRIES_LEASE_S = 2.0


class PacketBalancer:
    """
    Decides for each packet of a caller which agent gets it.

    Opening packets are placed by load; every other packet goes to the agent that
    holds its flow, which is asked for when it isn't known. The balancer resets a flow
    only when it knows that no backend server holds it.
    """

    def __init__(
        self,
        *,
        settings: PacketBalancerSettings,
        codec: PacketCodec,
        register: StateRegister,
        members: Members,
        placement: Placement,
        peer_socket: UdpSocket,
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.register = register
        self.members = members
        self.placement = placement
        self.peer_socket = peer_socket
        self.cache = FlowCache(idle_s=settings.flow_ttl_s)
        self.lookups = LookupTable()
        self.waiting: list[Packet] = []
        # Agents that gave an opening packet back, by flow.
        self.refusals: dict[FlowKey, set[str]] = {}
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
        flow = self.cache.get(packet.key, now=now)
        if packet.is_opening:
            self._open(packet, now=now)
            return
        if flow is None:
            self._find(packet, now=now)
            return
        flow.is_opening = False
        self._deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)

    def on_message(self, host: str, message: Message) -> None:
        """Take in what an agent says."""
        now = trio.current_time()
        if isinstance(message, LoadReport):
            self.placement.note_report(host, message, now=now)
        elif isinstance(message, OwnerNotice):
            self._note_owner(host, message, now=now)
        elif isinstance(message, ReturnedPacket):
            self._take_back(host, message, now=now)

    def on_state_change(self, topic: Topic) -> None:
        """Forward what waited for the first state."""
        del topic
        self._ask_for_held()
        if not self.is_ready or not self.waiting:
            return
        waiting, self.waiting = self.waiting, []
        for packet in waiting:
            self.on_caller_packet(packet.data)

    def expire(self) -> None:
        """Forget what is over."""
        now = trio.current_time()
        self.cache.expire(now=now)
        for lookup in self.lookups.expire(now=now):
            if not lookup.is_closed:
                self._log("lookup_unanswered", lookup.key, asked=sorted(lookup.asked))
        hosts = {r.host for r in self.register.backends.values()}
        self.placement.forget_absent(hosts | set(self.members.members))
        if len(self.refusals) > MAX_WAITING_PACKETS:
            self.refusals.clear()

    # Opening packets

    def _open(self, packet: Packet, *, now: float) -> None:
        """Place a new flow, or send a copy of its opening packet where it went."""
        if self.register.desired is None or not self._knows_backends():
            self._wait(packet)
            return
        route = self.register.desired.routes.get(route_address(packet.key))
        if route is None:
            self._reset(packet, reason="no_route")
            return
        flow = self.cache.get(packet.key, now=now)
        if flow is not None and self._still_takes(flow.agent, now):
            self._deliver(flow.agent, packet, DeliveryPurpose.OPEN)
            return
        self._place(packet, route, now=now)

    def _place(self, packet: Packet, route: Route, *, now: float) -> None:
        """Choose the backend server of a new flow."""
        key = packet.key
        excluded = self.refusals.get(key, set())
        service = route.choose_service(int.from_bytes(key[:6], "big") * 2654435761 >> 8)
        candidates = self.register.backends_of(service)
        record = self.placement.choose(candidates, excluding=excluded, now=now)
        if record is None:
            self._reset(packet, reason="no_backend_server")
            return
        self.cache.put(key, record.host, now=now, is_opening=True)
        self._deliver(record.host, packet, DeliveryPurpose.OPEN)
        self._log(
            "flow_placed",
            key,
            service=service,
            agent=record.host,
            backend_server=record.identifier,
            copies=packet.acknowledged,
            excluded=len(excluded),
        )

    def _still_takes(self, host: str, now: float) -> bool:
        """Whether an agent that was chosen can still be expected to answer."""
        load = self.placement.loads.get(host)
        return load is None or not load.is_silent(now)

    # Packets of flows whose owner isn't known

    def _find(self, packet: Packet, *, now: float) -> None:
        """Ask the agents that may hold the flow."""
        if packet.is_reset:
            return
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is None:
            return
        if lookup.is_closed:
            self._reset(packet, reason="flow_not_held")
            return
        agents = self._possible_owners(lookup)
        if not agents or not self.lookups.is_due(lookup, now=now):
            self.lookups.hold(lookup, packet)
            return
        if lookup.is_denied_by(agents):
            # Whoever did not answer is published no more.
            self._widen_or_close(lookup, packet, now=now)
            return
        self._ask(lookup, packet, agents, now=now)

    def _ask(
        self, lookup: Lookup, packet: Packet, agents: set[str], *, now: float
    ) -> None:
        """Send a packet to the agents whose backend servers may hold its flow."""
        lookup.asked_at = now
        lookup.asked |= agents
        for host in sorted(agents - lookup.denied):
            self._deliver(host, packet, DeliveryPurpose.FIND)
        self._log("flow_lookup", packet.key, asked=len(agents))

    def _ask_for_held(self) -> None:
        """Ask for flows whose packets came before any agent was known."""
        now = trio.current_time()
        for lookup in self.lookups.never_asked():
            agents = self._possible_owners(lookup)
            if agents:
                self._ask(lookup, lookup.held.pop(0), agents, now=now)

    def _knows_backends(self) -> bool:
        """Whether the published backend servers were read at all."""
        return self.register.revision(Topic.BACKEND_SERVERS) > 0

    def _possible_owners(self, lookup: Lookup) -> set[str]:
        """
        Return the agents whose backend servers may hold a flow.

        A flow stays where it is when its route moves to another service, so those
        that the route once led to are asked too, and in the end all.
        """
        hosts: set[str] = set()
        if not lookup.is_wide:
            for service in self.register.services_of(route_address(lookup.key)):
                hosts.update(r.host for r in self.register.backends_of(service))
                hosts.update(self.members.agents_of(service))
        if hosts:
            return hosts
        agents = {r.host for r in self.register.backends.values()}
        return agents | set(self.members.hosts(PeerRole.AGENT))

    def _note_owner(self, host: str, notice: OwnerNotice, *, now: float) -> None:
        """Send what waited for the owner of a flow."""
        key = notice.key
        self.cache.put(key, host, now=now, is_opening=False)
        lookup = self.lookups.close(key)
        if lookup is None:
            return
        for packet in lookup.held:
            self._deliver(host, packet, DeliveryPurpose.CONTINUE)
        self._log(
            "flow_found",
            key,
            agent=host,
            held=len(lookup.held),
            took_ms=round((now - lookup.started_at) * 1000, 1),
        )

    # Packets that an agent gave back

    def _take_back(self, host: str, returned: ReturnedPacket, *, now: float) -> None:
        """Decide about a packet that an agent could not deliver."""
        packet = self.codec.decode_from_caller(returned.data)
        if packet is None:
            return
        flow = self.cache.flows.get(packet.key)
        if flow is not None and flow.agent == host:
            self.cache.forget(packet.key)
        self._log(
            "packet_returned", packet.key, agent=host, reason=returned.reason.name
        )
        if packet.is_opening:
            self._open_elsewhere(host, packet, now=now)
        elif returned.reason is ReturnReason.LOST:
            self._reset(packet, reason="flow_lost")
        elif flow is not None and flow.agent != host:
            # The flow was found elsewhere in the meantime.
            self._deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)
        else:
            self._note_denial(host, packet, now=now)

    def _open_elsewhere(self, host: str, packet: Packet, *, now: float) -> None:
        """Try another backend server for an opening packet."""
        refused = self.refusals.setdefault(packet.key, set())
        refused.add(host)
        if len(refused) >= MAX_OPENING_TRIES:
            self.refusals.pop(packet.key)
            self._reset(packet, reason="refused_everywhere")
            return
        self._open(packet, now=now)

    def _note_denial(self, host: str, packet: Packet, *, now: float) -> None:
        """Reset a flow that every possible owner denied to hold."""
        lookup = self.lookups.open(packet.key, now=now)
        if lookup is None or lookup.is_closed:
            return
        lookup.denied.add(host)
        if not lookup.asked:
            self._find(packet, now=now)
            return
        if lookup.is_denied_by(self._possible_owners(lookup)):
            self._widen_or_close(lookup, packet, now=now)

    def _widen_or_close(self, lookup: Lookup, packet: Packet, *, now: float) -> None:
        """Ask the agents of all services; reset the flow if all of them denied."""
        if not lookup.is_wide:
            lookup.is_wide = True
            others = self._possible_owners(lookup)
            if not lookup.is_denied_by(others):
                self._ask(lookup, packet, others, now=now)
                return
        lookup.is_closed = True
        self._reset(packet, reason="flow_not_held")

    # Sending

    def _wait(self, packet: Packet) -> None:
        if len(self.waiting) < MAX_WAITING_PACKETS:
            self.waiting.append(packet)

    def _deliver(self, host: str, packet: Packet, purpose: DeliveryPurpose) -> None:
        message = Delivery(
            purpose=purpose, version=self.register.version, data=packet.data
        )
        self.peer_socket.send_to(
            encode_message(message), (host, self.settings.peer_port)
        )

    def _reset(self, packet: Packet, *, reason: str) -> None:
        """Tell the caller that its flow isn't open."""
        sequence = 0 if packet.is_opening else packet.acknowledged
        data = self.codec.make_reset(packet.key, sequence=sequence)
        port = self.settings.caller_port
        self.peer_socket.send_to(data, (caller_host(packet.key), port))
        self._log("flow_reset", packet.key, reason=reason)

    def _log(self, code: str, key: FlowKey, **inputs: object) -> None:
        logger.info(
            code.replace("_", " "),
            extra={
                "code": code,
                "flow": describe_flow(key),
                "version": self.register.version,
                **inputs,
            },
        )
