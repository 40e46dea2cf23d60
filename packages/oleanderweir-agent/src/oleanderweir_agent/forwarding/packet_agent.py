"""The packet-forwarding agent of one backend server."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import trio

from oleanderweir.flows import describe_flow
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.acceptance import Acceptance
from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
from oleanderweir_agent.forwarding.flow_remover import FlowRemover
from oleanderweir_agent.forwarding.flow_table import FlowTable
from oleanderweir_agent.forwarding.lookup_service import LookupService
from oleanderweir_agent.forwarding.opening_handler import OpeningHandler
from oleanderweir_agent.forwarding.ownership_checker import NOT_HELD_TTL_S
from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
from oleanderweir_agent.forwarding.pending_openings import PendingOpenings
from oleanderweir_agent.forwarding.report_builder import ReportBuilder
from oleanderweir_agent.forwarding.report_sender import ReportSender
from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import Message
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.ownership_check import OwnershipCheck
    from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


logger = logging.getLogger(__name__)


class PacketAgent:
    """
    Forwards packets between balancers, one backend server and its callers.

    Every packet of the backend server passes the agent, so the agent is the authority
    on the flows that the backend server holds. An agent that was started after its
    backend server has no entries of the older flows: it forwards a packet of an unknown
    flow, and the backend server returns the packet if it doesn't hold the flow.
    """

    def __init__(
        self,
        *,
        service: str,
        flow_ttl_s: float,
        codec: PacketCodec,
        register: StateRegister,
        members: Members,
        admission: FlowAdmission,
        transport: AgentTransport,
    ) -> None:
        self.service = service
        self.codec = codec
        self.register = register
        self.admission = admission
        self.transport = transport
        self.table = FlowTable(idle_timeout_s=flow_ttl_s)
        self.dispatcher = RequestDispatcher(register=register, transport=transport)
        self.members = members
        self.reporter = ReportSender(members=members, transport=transport)
        self.liveness = BackendLiveness()
        self.lookup_service = LookupService(
            codec=codec, register=register, members=members, transport=transport
        )
        self.ownership = OwnershipChecker(transport=transport)
        self.openings = PendingOpenings()
        self.acceptance = Acceptance(admission=admission, liveness=self.liveness)
        self.report_builder = ReportBuilder(
            service=service,
            table=self.table,
            dispatcher=self.dispatcher,
            acceptance=self.acceptance,
        )
        self.remover = FlowRemover(
            table=self.table,
            openings=self.openings,
            dispatcher=self.dispatcher,
            liveness=self.liveness,
            transport=transport,
        )
        self.opening_handler = OpeningHandler(
            table=self.table,
            openings=self.openings,
            dispatcher=self.dispatcher,
            admission=admission,
            acceptance=self.acceptance,
            liveness=self.liveness,
            ownership=self.ownership,
            remover=self.remover,
            report_builder=self.report_builder,
            transport=transport,
        )
        self.backend_started_at_ms = 0

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
            self.lookup_service.look_up(host, packet, revision=message.version)
        else:
            self._on_flow_packet(host, packet, message, now=now)

    def _on_flow_packet(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Forward a packet if the backend server holds its flow, or may hold it."""
        flow = self.table.get(packet.key)
        if flow is None:
            self._check_ownership(host, packet, message, now=now)
        elif self.liveness.is_down():
            self.remover.remove(packet.key, now=now)
            self.remover.return_unheld(host, flow, packet.data)
        elif message.purpose is not DeliveryPurpose.QUERY:
            self._forward(host, flow, packet, now=now)
        elif flow.is_closed:
            self.ownership.start(host, packet, now=now)
        elif flow.is_established:
            self._forward(host, flow, packet, now=now)
            self.transport.send_owner_notice(
                host, packet.key, **flow.describe_progress()
            )
        else:
            # The caller may have acknowledged another backend server's answer.
            flow.claimants.add(host)
            self._dispatch(flow, packet, now=now)

    def _forward(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Forward a packet of a flow in the table to the backend server."""
        self._update_from_caller(host, flow, packet, now=now)
        self._dispatch(flow, packet, now=now)

    def _dispatch(self, flow: HeldFlow, packet: Packet, *, now: float) -> None:
        """Send a packet to the backend server, or queue it with its request."""
        if packet.payload_bytes:
            self.liveness.on_payload(now=now)
        self.dispatcher.dispatch(flow, packet, now=now)

    def _check_ownership(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Start an ownership check of an unknown flow, or return its packet at once."""
        is_not_held = self.ownership.is_not_held(packet.key, now=now)
        if is_not_held or self._is_withdrawn(now):
            self.transport.return_packet(
                host, packet.key, packet.data, ReturnReason.NOT_HELD
            )
        elif self._routes_elsewhere(packet, message):
            self.transport.return_packet(
                host, packet.key, packet.data, ReturnReason.NOT_TRIED
            )
        else:
            self.ownership.start(host, packet, now=now)

    def _routes_elsewhere(self, packet: Packet, message: Delivery) -> bool:
        """
        Whether a packet of an unknown flow must not be forwarded, due to its route.

        If the route leads to another service, only a query is forwarded: the flow may
        have been opened before the route moved.
        """
        is_query = message.purpose is DeliveryPurpose.QUERY
        version = message.version
        return not is_query and not self.admission.allows_route(
            packet.key, version=version
        )

    def _update_from_caller(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Update the state of a flow from a packet of its caller."""
        flow.used_at = now
        flow.balancer = host
        flow.caller_acknowledged = packet.acknowledged
        flow.is_confirmed = True
        flow.opening = None
        if packet.is_reset:
            flow.caller_closed = flow.backend_closed = True
        elif packet.is_final:
            flow.caller_closed = True

    def _is_withdrawn(self, now: float) -> bool:
        """Whether the backend server is no longer published and sends nothing."""
        return (
            self.admission.is_unpublished(now=now)
            and now - self.liveness.last_packet_at > NOT_HELD_TTL_S
        )

    # Packets from the backend server

    def on_backend_packet(self, data: bytes) -> None:
        """Forward a packet of the backend server, or process one that it returned."""
        packet = self.codec.decode_from_backend_server(data)
        if packet is None:
            return
        now = trio.current_time()
        self.liveness.on_backend_packet(now=now)
        if packet.is_returned:
            self._on_returned(packet, now=now)
            return
        if packet.is_reset and self._is_reset_of_another(packet.key, now=now):
            return
        self.transport.forward_to_caller(packet.key, data)
        self._update_from_backend(packet, now=now)
        self.dispatcher.start_queued(self.table.flows, now=now)

    def _is_reset_of_another(self, key: FlowKey, *, now: float) -> bool:
        """
        Withhold a reset of a flow that another backend server may hold; deny the flow.

        A backend server also resets flows that have ended there or stayed half open.
        """
        check = self.ownership.pop(key)
        flow = self.table.get(key)
        is_half_open = flow is not None and flow.is_answered and not flow.is_confirmed
        if check is None and not is_half_open:
            return False
        logger.info(
            "reset withheld from the caller: another backend server may hold the flow",
            extra={"code": "reset_withheld", "flow": describe_flow(key)},
        )
        self.ownership.record_not_held(key, now=now)
        self.remover.remove(key, now=now)
        if check is not None:
            self._deny(check.balancer, key, check.data)
        return True

    def _update_from_backend(self, packet: Packet, *, now: float) -> None:
        """Update the state of a flow from a packet of the backend server."""
        # The answer to an opening packet may be late, and another backend server may
        # have opened the flow since: it doesn't prove that this one holds the flow.
        check = None if packet.is_opening else self.ownership.pop(packet.key)
        host = "" if check is None else check.balancer
        flow = self.table.get_or_create(packet.key, balancer=host, now=now)
        flow.is_answered = True
        if not packet.is_opening:
            self._establish(flow, check, now=now)
        if packet.is_acknowledging:
            self.dispatcher.on_acknowledged(flow, packet.acknowledged)
        if packet.payload_bytes:
            self.dispatcher.on_answer(flow, now=now)
        if packet.is_reset:
            self._log_backend_reset(flow, now=now)
            self.dispatcher.drop(flow, now=now)
            flow.caller_closed = flow.backend_closed = True
        elif packet.is_final:
            flow.backend_closed = True

    def _establish(
        self, flow: HeldFlow, check: OwnershipCheck | None, *, now: float
    ) -> None:
        """Mark a flow as held, if its caller sent a packet; notify those who asked."""
        claimants, flow.claimants = flow.claimants, set()
        if claimants:
            flow.is_confirmed = True
            flow.opening = None
        if check is not None:
            claimants.add(check.balancer)
        if not flow.is_confirmed and not claimants:
            return
        flow.is_established = True
        for host in sorted(claimants):
            flow.balancer = host
            self.transport.send_owner_notice(host, flow.key, **flow.describe_progress())
        if check is not None:
            self.dispatcher.on_ownership_confirmed(flow, check, now=now)

    def _on_returned(self, packet: Packet, *, now: float) -> None:
        """Process a packet that the backend server returned unserved."""
        key = packet.key
        data = self.codec.restore(packet)
        flow = self.table.get(key)
        check = self.ownership.pop(key)
        if packet.is_opening:
            self.opening_handler.on_returned(flow, key, data, now=now)
            return
        self.ownership.record_not_held(key, now=now)
        self.remover.remove(key, now=now)
        if check is not None:
            self._deny(check.balancer, key, data)
        elif flow is not None and flow.claimants:
            for host in sorted(flow.claimants):
                self._deny(host, key, data)
        elif flow is not None and not (flow.is_confirmed and flow.is_closed):
            # A backend server that held the flow and returns its packet was restarted.
            self.remover.return_unheld(flow.balancer, flow, data)

    def _deny(self, host: str, key: FlowKey, data: bytes) -> None:
        """Return a packet of a flow that the backend server doesn't hold."""
        self.transport.return_packet(host, key, data, ReturnReason.NOT_HELD)

    # Ticks, probes and state changes

    @property
    def has_pending_work(self) -> bool:
        """Whether anything waits for an answer or a slot, or a crash is suspected."""
        return bool(
            self.openings
            or self.ownership
            or self.dispatcher.queue
            or self.lookup_service.has_lookups
            or self.liveness.unanswered_openings
        )

    def on_tick(self) -> None:
        """Run periodic work: time-outs, lookups, queued requests and load reports."""
        now = trio.current_time()
        self.liveness.on_tick(now=now)
        self.opening_handler.return_overdue(now=now)
        if self.liveness.is_down() or self.holds_no_flows:
            self.ownership.deny_all()
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
        """
        Process the outcome of a probe of the backend server.

        If it proves that the backend server has stopped, every flow that was not used
        since the probe began is lost and is reset. Its caller can then open a new one
        at once, and doesn't send a request that can't be repeated into a flow that no
        process answers.
        """
        now = trio.current_time()
        self.liveness.on_probe_outcome(outcome, now=checked_at)
        if not self.liveness.has_stopped:
            return
        for flow in self.table.idle_since(checked_at):
            self._reset_lost_flow(flow, now=now)
        self.opening_handler.return_sent_before(checked_at, now=now)
        self.ownership.deny_all(started_before=checked_at)

    def announce_departure(self) -> None:
        """Notify all peers that the agent exits and its backend server has no flows."""
        for host in self.members.members:
            self.transport.send(host, Departure(service=self.service))

    def _reset_lost_flow(self, flow: HeldFlow, *, now: float) -> None:
        """
        Remove a flow that was lost with its backend server, and reset it if open.

        Skips a flow of which the caller has sent only the opening packet.
        """
        if flow.opening is not None:
            return
        if flow.is_established and not flow.is_closed:
            data = self.codec.make_reset(flow.key, sequence=flow.caller_acknowledged)
            self.transport.reset_flow(flow.key, data, reason="backend_gone")
        self.ownership.record_not_held(flow.key, now=now)
        self.remover.remove(flow.key, now=now)

    def expire(self) -> None:
        """Drop expired lookups, flows and ownership checks."""
        now = trio.current_time()
        self.lookup_service.expire(now=now)
        for flow in self.table.expire(now=now):
            self.dispatcher.drop(flow, now=now)
        self.ownership.expire(now=now)

    def on_state_change(self) -> None:
        """Apply the published record of the backend server."""
        record = self.admission.update_record()
        if record is None:
            return
        self.dispatcher.meter.slots = record.slots
        if self.backend_started_at_ms not in (0, record.started_at_ms):
            self._on_restart(record.started_at_ms)
        self.backend_started_at_ms = record.started_at_ms

    def _on_restart(self, started_at_ms: int) -> None:
        """Drop the requests that were in flight when the backend server restarted."""
        now = trio.current_time()
        started_at = now - max(0.0, time.time() - started_at_ms / 1000)
        lost = [
            flow
            for flow in self.table.flows.values()
            if flow.requested_at is not None and flow.requested_at < started_at
        ]
        for flow in lost:
            self.dispatcher.drop(flow, now=now)
        logger.warning(
            "backend server restarted; dropped requests from before the restart",
            extra={
                "code": "backend_restarted",
                "started_at_ms": started_at_ms,
                "requests": len(lost),
            },
        )

    def _log_backend_reset(self, flow: HeldFlow, *, now: float) -> None:
        logger.info(
            "backend server reset a flow",
            extra={
                "code": "backend_reset",
                "flow": describe_flow(flow.key),
                "is_confirmed": flow.is_confirmed,
                "age_s": round(now - flow.opened_at, 3),
                "busy": self.dispatcher.meter.busy,
                "flows": len(self.table.flows),
            },
        )
