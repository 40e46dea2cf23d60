"""Opening packets: admission, forwarding, and return to their balancers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir.flows import describe_flow
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.held_openings import HeldOpenings


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.peering.messages import Delivery
    from oleanderweir_agent.forwarding.acceptance import Acceptance
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.cold_start_limiter import ColdStartLimiter
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission
    from oleanderweir_agent.forwarding.flow_remover import FlowRemover
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
    from oleanderweir_agent.forwarding.pending_openings import PendingOpenings
    from oleanderweir_agent.forwarding.report_builder import ReportBuilder
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher
    from oleanderweir_agent.forwarding.withdrawn_openings import WithdrawnOpenings


logger = logging.getLogger(__name__)

# Reasons that a load report of the state now would have told the balancer.
OUTDATED_REPORT_REASONS = frozenset({ReturnReason.BUSY, ReturnReason.COLD})


class OpeningHandler:
    """
    Forwards opening packets to the backend server, or returns them.

    Returns those that are rejected at once, those that the backend server returns, and
    those that it leaves unanswered. Those about which the agent's state says nothing
    yet are held until it does.
    """

    def __init__(
        self,
        *,
        table: FlowTable,
        openings: PendingOpenings,
        dispatcher: RequestDispatcher,
        admission: FlowAdmission,
        acceptance: Acceptance,
        liveness: BackendLiveness,
        continuity: BackendContinuity,
        cold_start: ColdStartLimiter,
        ownership: OwnershipChecker,
        remover: FlowRemover,
        withdrawn: WithdrawnOpenings,
        report_builder: ReportBuilder,
        transport: AgentTransport,
    ) -> None:
        self.table = table
        self.openings = openings
        self.dispatcher = dispatcher
        self.admission = admission
        self.acceptance = acceptance
        self.liveness = liveness
        self.continuity = continuity
        self.cold_start = cold_start
        self.ownership = ownership
        self.remover = remover
        self.withdrawn = withdrawn
        self.report_builder = report_builder
        self.transport = transport
        self.held = HeldOpenings()

    def on_opening(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Forward an opening packet to the backend server, or return it if rejected."""
        existing = self.table.get(packet.key)
        if existing is not None and existing.is_confirmed:
            if not existing.is_closed or packet.acknowledged > 0:
                # A late copy: the flow is open already, or has ended.
                return
            # The caller uses the port of an ended flow again.
            self.remover.remove(packet.key, now=now)
            existing = None
        if not self._can_decide(existing, packet, message):
            self._hold(host, packet, message, now=now)
            return
        reason = self._find_rejection(existing, packet, message, now=now)
        if reason in OUTDATED_REPORT_REASONS:
            # The balancer placed the flow by an older report: send it a new one.
            self.transport.send(host, self.report_builder.build(now=now))
        if reason is not None:
            self.transport.return_packet(host, packet.key, packet.data, reason)
            return
        self._forward(host, packet, now=now)

    def _find_rejection(
        self,
        existing: HeldFlow | None,
        packet: Packet,
        message: Delivery,
        *,
        now: float,
    ) -> ReturnReason | None:
        """Return why an opening packet can't be forwarded, or None if it can."""
        if _is_answered_copy(existing):
            return None
        reason = self.admission.check(packet.key)
        if reason is None and not self._is_backend_usable(now=now):
            reason = ReturnReason.FULL
        is_first = existing is None and message.purpose is DeliveryPurpose.OPEN
        if reason is None and is_first and self.dispatcher.is_saturated:
            reason = ReturnReason.BUSY
        is_last_resort = message.purpose is DeliveryPurpose.OPEN_AS_LAST_RESORT
        if reason is None and not self.cold_start.admits(
            is_last_resort=is_last_resort, now=now
        ):
            reason = ReturnReason.COLD
        return reason

    def _is_backend_usable(self, *, now: float) -> bool:
        """Whether the backend server responds and is of this agent's service."""
        if self.continuity.is_doubted(now=now):
            return False
        return self.liveness.allows_new_flows()

    def _can_decide(
        self, existing: HeldFlow | None, packet: Packet, message: Delivery
    ) -> bool:
        """Whether the agent's state is enough to admit or reject an opening packet."""
        return _is_answered_copy(existing) or self.admission.can_decide(
            packet.key, version=message.version
        )

    def _hold(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Hold an opening packet until the agent's state says more, or return it."""
        register = self.admission.register
        logger.info(
            "opening packet held until the published state says more",
            extra={
                "code": "opening_held",
                "flow": describe_flow(packet.key),
                "version": register.version,
                "version_of_balancer": message.version,
                "has_backend_servers": register.listed_at is not None,
            },
        )
        if not self.held.hold(host, packet, message, now=now):
            self.transport.return_packet(
                host, packet.key, packet.data, ReturnReason.NO_ROUTE
            )

    def drop_held(self, key: FlowKey) -> None:
        """Drop a held opening packet: another backend server has opened its flow."""
        self.held.remove(key)

    def decide_held(self, *, now: float) -> None:
        """Decide about the held opening packets, since the state has changed."""
        for held in self.held.pop_all():
            if self.admission.can_decide(held.packet.key, version=held.message.version):
                self.on_opening(held.host, held.packet, held.message, now=now)
            else:
                self.held.keep(held)

    def return_held(self, *, now: float) -> None:
        """Return the opening packets that were held for too long."""
        for held in self.held.pop_overdue(now=now):
            self.transport.return_packet(
                held.host,
                held.packet.key,
                held.packet.data,
                ReturnReason.NO_ROUTE,
                version=self.admission.register.version,
                version_of_balancer=held.message.version,
            )

    def _forward(self, host: str, packet: Packet, *, now: float) -> None:
        """Forward an opening packet to the backend server, and await the answer."""
        self.ownership.on_opening(packet.key)
        self.withdrawn.discard(packet.key)
        flow = self.table.get_or_create(packet.key, balancer=host, now=now)
        if not _is_answered_copy(flow):
            self.cold_start.on_opening(now=now)
        flow.balancer = host
        flow.opening = packet.data
        flow.opened_at = now
        self.openings.add(flow)
        self.liveness.on_opening(now=now)
        self.transport.forward_to_backend(packet.data)

    def on_returned(
        self, flow: HeldFlow | None, key: FlowKey, data: bytes, *, now: float
    ) -> None:
        """
        Return an opening packet that the backend server rejected.

        For ``FULL_PAUSE_S``, reports say that the backend server accepts no flows.
        """
        if flow is not None and flow.is_answered:
            return
        self.acceptance.on_full(now=now)
        self.remover.remove(key, now=now)
        if flow is not None:
            self.transport.return_packet(flow.balancer, key, data, ReturnReason.FULL)

    def return_overdue(self, *, now: float) -> None:
        """Return the opening packets that the backend server has not answered."""
        self._return_unanswered(self.openings.pop_overdue(now=now), now=now)

    def return_sent_before(self, moment: float, *, now: float) -> None:
        """Return the unanswered opening packets that were sent by ``moment``."""
        self._return_unanswered(self.openings.pop_sent_before(moment), now=now)

    def _return_unanswered(self, flows: list[HeldFlow], *, now: float) -> None:
        """Return the unanswered opening packets of flows to their balancers."""
        for flow in flows:
            self.remover.remove(flow.key, now=now)
            if flow.opening is not None:
                self.transport.return_packet(
                    flow.balancer, flow.key, flow.opening, ReturnReason.UNANSWERED
                )


def _is_answered_copy(existing: HeldFlow | None) -> bool:
    """Whether the caller may be acknowledging the answer to an earlier copy."""
    return existing is not None and existing.is_answered and not existing.is_closed
