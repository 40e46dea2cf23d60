"""A balancer that forwards packets to the agents that own their flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.lookups import OwnerLookup
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_balancer.forwarding.flow_cache import FlowCache
from oleanderweir_balancer.forwarding.hedging_policy import HedgingPolicy
from oleanderweir_balancer.forwarding.opening_hedger import OpeningHedger
from oleanderweir_balancer.forwarding.opening_placer import OpeningPlacer


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.desired_state import Topic
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import Message
    from oleanderweir_balancer.forwarding.balancer_transport import BalancerTransport
    from oleanderweir_balancer.forwarding.flow_cache import CachedFlow
    from oleanderweir_balancer.forwarding.placement_policy import PlacementPolicy


# Replies that complete or continue a lookup, without a denial by one agent.
LOOKUP_REPLIES = frozenset(
    {ReturnReason.UNKNOWN, ReturnReason.PARTLY_DENIED, ReturnReason.HELD_NOWHERE}
)


class PacketBalancer:
    """
    Selects the agent for each packet of a caller.

    Opening packets go to the ``OpeningPlacer``. Every other packet goes to the agent
    that owns its flow, which is looked up if it isn't cached. An open flow is reset
    only if no backend server holds it, by the denials of agents and the published
    state. ``max_hedged_share`` limits the share of new flows that are hedged.
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
        max_hedged_share: float = 0.0,
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
        self.hedger = OpeningHedger(
            policy=HedgingPolicy(max_share=max_hedged_share, placement=placement),
            register=register,
            cache=self.cache,
            transport=transport,
        )
        self.opening_placer = OpeningPlacer(
            register=register,
            placement=placement,
            transport=transport,
            cache=self.cache,
            owner_lookup=self.owner_lookup,
            hedger=self.hedger,
        )
        self.last_caller_packet_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether new and open flows can be forwarded."""
        return self.register.desired is not None and bool(self.register.backends)

    def on_caller_packet(self, data: bytes, *, waited_s: float = 0.0) -> None:
        """
        Forward one datagram of a caller.

        ``waited_s`` is the longest time for which it may have waited to be read.
        """
        packet = self.codec.decode_from_caller(data)
        if packet is None:
            return
        now = trio.current_time()
        self.last_caller_packet_at = now
        if packet.is_opening and waited_s:
            self.opening_placer.open_delayed(packet, arrived_at=now - waited_s, now=now)
            return
        if packet.is_opening:
            self.opening_placer.open(packet, arrived_at=now, now=now)
            return
        flow = self.cache.get(packet.key, now=now)
        if flow is None:
            self.owner_lookup.look_up(packet, now=now)
        else:
            self._forward(flow, packet, now=now)

    def _forward(self, flow: CachedFlow, packet: Packet, *, now: float) -> None:
        """Send a caller's packet to the agent of its flow, or to both if hedged."""
        if not flow.is_open:
            self.hedger.on_opened(packet.key, flow, now=now)
        flow.is_open = True
        flow.is_closed_by_caller |= packet.is_final
        if flow.second_agent:
            self.hedger.forward(flow, packet)
        else:
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
        self.hedger.cancel(key)
        rejected = ""
        if cached is not None and cached.may_own(owner):
            self.hedger.log_outcome(key, cached, owner)
            cached.reject(cached.other_agent(owner))
        # The rejected agent may still return packets that were sent to both.
        if cached is not None and cached.agent == owner:
            rejected = cached.rejected_agent
        self.cache.put(key, owner, now=now, is_open=True, rejected_agent=rejected)
        self.owner_lookup.on_owner(owner, key, now=now)

    def on_state_change(self, topic: Topic) -> None:
        """Update the fleet size, send deferred queries and place queued openings."""
        del topic
        now = trio.current_time()
        self.placement.set_fleet_size(len(self.register.backends))
        self.owner_lookup.query_deferred(now=now)
        if self.is_ready:
            self.opening_placer.place_queued(now=now)

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
        self.opening_placer.expire(now=now)

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
        flow = self.cache.flows.get(packet.key)
        if flow is not None and flow.may_own(host):
            self._on_hedge_returned(host, flow, packet, reason, now=now)
        elif flow is not None and flow.is_open and flow.rejected_agent == host:
            # The other agent of the hedged flow has got this packet, too.
            return
        elif reason in LOOKUP_REPLIES:
            self._on_lookup_reply(host, packet, returned, now=now)
        else:
            self._on_denied_packet(host, packet, returned, now=now)

    def _on_denied_packet(
        self, host: str, packet: Packet, returned: ReturnedPacket, *, now: float
    ) -> None:
        """Retry, look up or reset the flow of a packet that its agent returned."""
        reason = returned.reason
        flow = self.cache.flows.get(packet.key)
        # Unknown if an earlier agent of the flow returns the packet.
        placed_at = float("-inf")
        if flow is not None and flow.agent == host:
            placed_at = flow.stored_at
            self.cache.discard(packet.key)
        if packet.is_opening:
            self.opening_placer.retry(
                host, packet, reason, placed_at=placed_at, now=now
            )
        elif reason is ReturnReason.LOST and _is_owner(flow, host):
            self.transport.send_reset(packet, reason="flow_lost")
        elif reason is ReturnReason.NOT_TRIED:
            # Not a denial: the agent was restarted, and its backend server may still
            # hold the flow.
            self.owner_lookup.look_up(packet, now=now)
        elif flow is not None and flow.agent != host:
            # The owner was found at another agent in the meantime.
            self.transport.deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)
        else:
            self.owner_lookup.on_denial(
                host, packet, now=now, is_port_used=returned.is_port_used
            )

    def _on_hedge_returned(
        self,
        host: str,
        flow: CachedFlow,
        packet: Packet,
        reason: ReturnReason,
        *,
        now: float,
    ) -> None:
        """Leave a hedged flow to the agent that has not returned its packet."""
        if packet.is_opening:
            self.opening_placer.record_return(
                host, packet, reason, placed_at=flow.stored_at, now=now
            )
        else:
            self.hedger.log_outcome(packet.key, flow, flow.other_agent(host))
        flow.reject(host)

    def _on_lookup_reply(
        self, host: str, packet: Packet, returned: ReturnedPacket, *, now: float
    ) -> None:
        """Process the reply of an agent or of a delegate that isn't a plain denial."""
        if returned.reason is ReturnReason.UNKNOWN:
            self.owner_lookup.on_unknown(host, packet, now=now)
        elif returned.reason is ReturnReason.PARTLY_DENIED:
            self.owner_lookup.on_progress(
                host,
                packet,
                returned.hosts,
                now=now,
                is_port_used=returned.is_port_used,
            )
        else:
            self._on_no_owner(host, packet, returned, now=now)

    def _on_no_owner(
        self, host: str, packet: Packet, returned: ReturnedPacket, *, now: float
    ) -> None:
        """Fail the lookup of a flow, unless its owner was found in the meantime."""
        flow = self.cache.flows.get(packet.key)
        if flow is None:
            self.owner_lookup.on_no_owner(
                host,
                packet,
                now=now,
                hosts=returned.hosts,
                is_port_used=returned.is_port_used,
            )
        else:
            self.transport.deliver(flow.agent, packet, DeliveryPurpose.CONTINUE)

    def _is_open(self, key: FlowKey) -> bool:
        """Whether the caller has sent packets after the opening packet of a flow."""
        return self.cache.is_open(key) or self.owner_lookup.is_in_progress(key)


def _is_owner(flow: CachedFlow | None, host: str) -> bool:
    """Whether no other agent than ``host`` may hold a flow, by its cache entry."""
    return flow is not None and flow.agent == host and not flow.is_unconfirmed
