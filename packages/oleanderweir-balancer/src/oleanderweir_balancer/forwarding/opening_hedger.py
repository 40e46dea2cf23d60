"""Sends the opening packets of slow flows to a second backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.flows import route_address
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir_balancer.forwarding.flow_service import choose_flow_service
from oleanderweir_balancer.forwarding.pending_hedge import PendingHedge
from oleanderweir_balancer.forwarding.withheld_reason import WithheldReason


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.desired_state import Route
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_balancer.forwarding.balancer_transport import BalancerTransport
    from oleanderweir_balancer.forwarding.flow_cache import CachedFlow
    from oleanderweir_balancer.forwarding.flow_cache import FlowCache
    from oleanderweir_balancer.forwarding.hedging_policy import HedgingPolicy


# Bounds the memory of flows that haven't opened yet.
MAX_PENDING = 2048
# A hedge that is overdue by more shows that this process stood still, and that packets
# of callers, which open their flows, may be waiting in its socket.
MAX_LATENESS_S = 0.05


class OpeningHedger:
    """
    Hedges the openings of flows whose requests may be repeated.

    Only the opening packet is ever sent twice. A hedged flow has two agents until one
    of them denies it or claims it; its caller's packets go to both, and only the
    backend server whose answer the caller has acknowledged gets them.
    """

    def __init__(
        self,
        *,
        policy: HedgingPolicy,
        register: StateRegister,
        cache: FlowCache,
        transport: BalancerTransport,
    ) -> None:
        self.policy = policy
        self.register = register
        self.cache = cache
        self.transport = transport
        self.pending: dict[FlowKey, PendingHedge] = {}
        self.scheduled = trio.Event()

    async def wait_for_any(self) -> None:
        """Wait until at least one hedge is pending."""
        if not self.pending:
            self.scheduled = trio.Event()
            await self.scheduled.wait()

    @property
    def next_due_at(self) -> float:
        """When the next pending hedge is due, in seconds of trio's clock."""
        return min(
            (pending.due_at for pending in self.pending.values()), default=float("-inf")
        )

    def on_placed(self, packet: Packet, route: Route, *, now: float) -> None:
        """Schedule a hedge of a new flow that was placed for the first time."""
        if not (self.policy.is_enabled and route.is_idempotent):
            return
        self.policy.budget.on_candidate()
        flow = self.cache.flows.get(packet.key)
        if flow is not None:
            flow.is_timed = True
        if len(self.pending) < MAX_PENDING:
            due_at = now + self.policy.delay_s
            self.pending[packet.key] = PendingHedge(packet=packet, due_at=due_at)
            self.scheduled.set()

    def cancel(self, key: FlowKey) -> None:
        """Cancel the hedge of a flow that is placed anew, or given up."""
        self.pending.pop(key, None)

    def on_opened(self, key: FlowKey, flow: CachedFlow, *, now: float) -> None:
        """Record the opening time of a flow, and cancel its hedge."""
        self.pending.pop(key, None)
        if flow.is_timed:
            self.policy.opening_times.record(now - flow.stored_at)

    def send_due(self, *, now: float) -> None:
        """Send the hedges that are due."""
        due = [p for p in self.pending.values() if p.due_at <= now]
        for pending in due:
            del self.pending[pending.packet.key]
            self._send(pending, now=now)

    def forward(self, flow: CachedFlow, packet: Packet) -> None:
        """Send a caller's packet to both agents of a hedged flow."""
        for host in (flow.agent, flow.second_agent):
            self.transport.deliver(host, packet, DeliveryPurpose.HEDGED_QUERY)

    def log_outcome(self, key: FlowKey, flow: CachedFlow, owner: str) -> None:
        """Log whether the hedge of a flow has won."""
        code = "hedge_won" if owner == flow.second_agent else "hedge_lost"
        self.transport.log(code, key, agent=owner)

    def _send(self, pending: PendingHedge, *, now: float) -> None:
        """Send a due hedge, or log why it is withheld."""
        packet = pending.packet
        flow = self.cache.flows.get(packet.key)
        if flow is None or flow.is_open:
            return
        record = self._select(pending, flow, now=now)
        if isinstance(record, WithheldReason):
            self.transport.log("hedge_withheld", packet.key, reason=str(record))
            return
        flow.second_agent = record.host
        flow.is_unconfirmed = True
        self.transport.deliver(record.host, packet, DeliveryPurpose.OPEN)
        self.transport.log(
            "hedge_sent",
            packet.key,
            agent=record.host,
            first_agent=flow.agent,
            waited_ms=round((now - flow.stored_at) * 1000, 1),
        )

    def _select(
        self, pending: PendingHedge, flow: CachedFlow, *, now: float
    ) -> BackendRecord | WithheldReason:
        """Return the second backend server of a flow by the state of now."""
        key = pending.packet.key
        if now - pending.due_at > MAX_LATENESS_S:
            return WithheldReason.LATE
        desired = self.register.desired
        route = None if desired is None else desired.routes.get(route_address(key))
        if route is None or not route.is_idempotent:
            return WithheldReason.NO_ROUTE
        candidates = self.register.unevacuated_backends_of(
            choose_flow_service(route, key)
        )
        return self.policy.select(
            tuple(candidates), key=key, first_agent=flow.agent, now=now
        )
