"""The packet-forwarding agent of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import Message
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.backend_packet_handler import (
        BackendPacketHandler,
    )
    from oleanderweir_agent.forwarding.backend_record_follower import (
        BackendRecordFollower,
    )
    from oleanderweir_agent.forwarding.cold_start_limiter import ColdStartLimiter
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission
    from oleanderweir_agent.forwarding.flow_packet_handler import FlowPacketHandler
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.lookup_service import LookupService
    from oleanderweir_agent.forwarding.opening_handler import OpeningHandler
    from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
    from oleanderweir_agent.forwarding.pending_openings import PendingOpenings
    from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome
    from oleanderweir_agent.forwarding.probe_outcome_handler import ProbeOutcomeHandler
    from oleanderweir_agent.forwarding.report_builder import ReportBuilder
    from oleanderweir_agent.forwarding.report_sender import ReportSender
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher
    from oleanderweir_agent.forwarding.table_completeness import TableCompleteness
    from oleanderweir_agent.forwarding.withdrawn_openings import WithdrawnOpenings


@attrs.define(kw_only=True, eq=False)
class PacketAgent:
    """
    Forwards packets between balancers, one backend server and its callers.

    Every packet of the backend server passes the agent, so the agent is the authority
    on the flows that the backend server holds. An agent that was started after its
    backend server has no entries of the older flows: it forwards a packet of an unknown
    flow, and the backend server returns the packet if it doesn't hold the flow. Once
    ``TableCompleteness`` proves that there are no older flows, it denies unknown ones.
    """

    service: str
    codec: PacketCodec
    register: StateRegister
    members: Members
    admission: FlowAdmission
    transport: AgentTransport
    table: FlowTable
    openings: PendingOpenings
    dispatcher: RequestDispatcher
    liveness: BackendLiveness
    continuity: BackendContinuity
    cold_start: ColdStartLimiter
    ownership: OwnershipChecker
    withdrawn: WithdrawnOpenings
    lookup_service: LookupService
    completeness: TableCompleteness
    report_builder: ReportBuilder
    reporter: ReportSender
    opening_handler: OpeningHandler
    flow_packet_handler: FlowPacketHandler
    backend_packet_handler: BackendPacketHandler
    probe_outcome_handler: ProbeOutcomeHandler
    record_follower: BackendRecordFollower

    # Packets from peers

    def on_message(self, host: str, message: Message) -> None:
        """Process the message of a balancer or of another agent."""
        if isinstance(message, OwnerNotice):
            self.lookup_service.on_owner(host, message)
        elif isinstance(message, ReturnedPacket):
            self.lookup_service.on_denial(host, message)
        elif isinstance(message, Delivery):
            self._on_delivery(host, message)

    def _on_delivery(self, host: str, message: Delivery) -> None:
        """Process a caller's packet."""
        packet = self.codec.decode_from_caller(message.data)
        if packet is None:
            return
        now = trio.current_time()
        if packet.is_opening:
            self.opening_handler.on_opening(host, packet, message, now=now)
        elif message.purpose is DeliveryPurpose.DELEGATED_LOOKUP:
            self.lookup_service.look_up(
                host, packet, revision=message.version, hosts=message.hosts
            )
        else:
            if message.purpose is DeliveryPurpose.HEDGED_QUERY:
                self.opening_handler.drop_held(packet.key)
            self.flow_packet_handler.on_packet(host, packet, message, now=now)

    # Packets from the backend server

    def on_backend_packet(self, data: bytes) -> None:
        """Forward a packet of the backend server, or process one that it returned."""
        self.backend_packet_handler.on_packet(data)

    # Ticks, probes and state changes

    @property
    def has_pending_work(self) -> bool:
        """Whether anything waits for an answer or a slot, or a crash is suspected."""
        return bool(
            self.openings
            or self.opening_handler.held
            or self.ownership
            or self.dispatcher.queue
            or self.lookup_service.has_lookups
            or self.liveness.unanswered_openings
        )

    def on_tick(self) -> None:
        """Run periodic work: time-outs, lookups, queued requests and load reports."""
        now = trio.current_time()
        self.liveness.on_tick(now=now)
        self.continuity.update(now=now)
        self.cold_start.update(now=now)
        self.opening_handler.return_overdue(now=now)
        # A first listing without backend servers isn't notified as a change.
        self.opening_handler.decide_held(now=now)
        self.opening_handler.return_held(now=now)
        if self.liveness.is_down() or self.holds_no_flows:
            self.ownership.deny_all()
        self.ownership.repeat_unanswered(now=now)
        self.lookup_service.retry(now=now)
        if self.dispatcher.is_busy:
            self.dispatcher.drop_expired(self.table.flows.values(), now=now)
        self.dispatcher.start_queued(self.table.flows, now=now)
        if self.reporter.is_due(fleet_size=len(self.register.backends), now=now):
            self._report(now)

    def _report(self, now: float) -> None:
        """Send the balancers a load report, if it is needed."""
        fleet_size = len(self.register.backends)
        self.reporter.send_if_changed(
            self.report_builder.build(now=now), fleet_size=fleet_size, now=now
        )

    @property
    def holds_no_flows(self) -> bool:
        """Whether the backend server has stopped, or is neither up nor published."""
        if self.liveness.has_stopped:
            return True
        return self.liveness.is_refused and self.admission.record is None

    def on_probe_outcome(self, outcome: ProbeOutcome, *, checked_at: float) -> None:
        """Process the outcome of a probe of the backend server."""
        self.probe_outcome_handler.on_probe_outcome(outcome, checked_at=checked_at)

    def announce_departure(self) -> None:
        """Notify all peers that the agent exits and its backend server has no flows."""
        for host in self.members.members:
            self.transport.send(host, Departure(service=self.service))

    def expire(self) -> None:
        """Drop expired lookups, flows and ownership checks."""
        now = trio.current_time()
        self.lookup_service.expire(now=now)
        for flow in self.table.expire(now=now):
            if flow.is_reset_by_caller:
                self.completeness.on_unproven_removal()
            self.dispatcher.drop(flow, now=now)
        self.ownership.expire(now=now)
        self.withdrawn.expire(now=now)

    def on_standstill(self) -> None:
        """Doubt the backend server: it may have stopped while this process did."""
        self.continuity.on_doubt(now=trio.current_time(), reason="standstill")

    def on_state_change(self) -> None:
        """Apply the published record, and decide about held opening packets."""
        self.record_follower.on_state_change()
        self.continuity.update(now=trio.current_time())
        self.opening_handler.decide_held(now=trio.current_time())
