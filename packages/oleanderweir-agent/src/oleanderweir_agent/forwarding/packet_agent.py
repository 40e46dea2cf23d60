"""The agent of one backend server: knows which flows it holds."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import BackendState
from oleanderweir.flows import describe_flow
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
from oleanderweir_agent.forwarding.backend_searches import ABSENCE_LEASE_S
from oleanderweir_agent.forwarding.backend_searches import BackendSearches
from oleanderweir_agent.forwarding.flow_table import FlowTable
from oleanderweir_agent.forwarding.report_sender import ReportSender
from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher
from oleanderweir_agent.forwarding.search_service import SearchService


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import LoadReport
    from oleanderweir.peering.messages import Message
    from oleanderweir_agent.forwarding.agent_links import AgentLinks
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.opening_gate import OpeningGate
    from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


logger = logging.getLogger(__name__)

# A backend server that answers no opening packet for this long is passed over.
OPENING_TIMEOUT_S = 0.06
# After a refused opening packet the balancers are told that there is no room.
FULL_PAUSE_S = 0.1


class PacketAgent:
    """
    Passes packets to its backend server, and the backend server's to callers.

    It sees every packet of the backend server, so it is the authority on the flows
    that are held there. An agent that started after its backend server doesn't know
    the older flows: it hands a packet over, and the backend server gives back what
    it doesn't hold.
    """

    def __init__(
        self,
        *,
        service: str,
        flow_ttl_s: float,
        codec: PacketCodec,
        register: StateRegister,
        members: Members,
        gate: OpeningGate,
        links: AgentLinks,
    ) -> None:
        self.service = service
        self.codec = codec
        self.register = register
        self.gate = gate
        self.links = links
        self.table = FlowTable(idle_s=flow_ttl_s)
        self.requests = RequestDispatcher(register=register, links=links)
        self.members = members
        self.reporter = ReportSender(members=members, links=links)
        self.liveness = BackendLiveness()
        self.search_service = SearchService(
            codec=codec, register=register, members=members, links=links
        )
        self.searches = BackendSearches(links=links)
        # Flows whose opening packet the backend server hasn't answered.
        self.openings: dict[FlowKey, HeldFlow] = {}
        self.full_until = float("-inf")
        self.lifetime = 0

    # Packets from balancers

    def on_message(self, host: str, message: Message) -> None:
        """Take in what a balancer says."""
        if isinstance(message, OwnerNotice):
            self.search_service.on_owner(host, message)
        elif isinstance(message, ReturnedPacket):
            self.search_service.on_denial(host, message)
        elif isinstance(message, Delivery):
            self._take_delivery(host, message)

    def _take_delivery(self, host: str, message: Delivery) -> None:
        """Take a caller's packet in."""
        packet = self.codec.decode_from_caller(message.data)
        if packet is None:
            return
        now = trio.current_time()
        if packet.is_opening:
            self._open(host, packet, message, now=now)
        elif message.purpose is DeliveryPurpose.DELEGATED_LOOKUP:
            self.search_service.search(host, packet, revision=message.version)
        else:
            self._continue(host, packet, message, now=now)

    def _open(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Check an opening packet, and hand it to the backend server."""
        known = self.table.get(packet.key)
        if known is not None and known.is_confirmed:
            # A late copy; its flow is open and needs no other answer.
            return
        reason = self.gate.check(packet.key, version=message.version)
        if reason is None and not self.liveness.is_worth_trying():
            reason = ReturnReason.FULL
        is_first = known is None and message.purpose is DeliveryPurpose.OPEN
        if reason is None and is_first and self.requests.is_crowded:
            reason = ReturnReason.BUSY
            # The balancer chose by an older report.
            self.links.tell(host, self._make_report(now))
        if reason is not None:
            self.links.give_back(host, packet.key, packet.data, reason)
            return
        self.searches.note_opening(packet.key)
        flow = self.table.ensure(packet.key, balancer=host, now=now)
        flow.balancer = host
        flow.opening = packet.data
        flow.opened_at = now
        self.openings[flow.key] = flow
        self.liveness.note_opening(now=now)
        self.links.hand_over(packet.data)

    def _continue(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Hand a packet over if the backend server holds its flow, or may hold it."""
        flow = self.table.get(packet.key)
        if flow is None:
            self._try_unknown(host, packet, message, now=now)
        elif self.liveness.is_gone():
            self._forget(packet.key, now=now)
            self.links.give_back(host, packet.key, packet.data, ReturnReason.LOST)
        else:
            self._note_from_caller(host, flow, packet, now=now)
            if packet.payload_bytes:
                self.liveness.note_payload(now=now)
            self.requests.pass_on(flow, packet, now=now)
            if message.purpose is DeliveryPurpose.QUERY:
                self.links.claim(host, packet.key)

    def _try_unknown(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Find out from the backend server whether it holds a flow."""
        is_absent = self.searches.is_absent(packet.key, now=now)
        if is_absent or self._is_left(now):
            self.links.give_back(host, packet.key, packet.data, ReturnReason.NOT_HELD)
        elif self._is_foreign(packet, message):
            self.links.give_back(host, packet.key, packet.data, ReturnReason.NOT_TRIED)
        else:
            self.searches.begin(host, packet, now=now)

    def _is_foreign(self, packet: Packet, message: Delivery) -> bool:
        """
        Whether a packet of an unknown flow may not be tried here.

        Only a search may try a flow whose route leads to another service: it can be
        one that was opened before the route moved.
        """
        is_search = message.purpose is DeliveryPurpose.QUERY
        version = message.version
        return not is_search and not self.gate.allows_route(packet.key, version=version)

    def _note_from_caller(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Keep the state of a flow up to date with a packet of its caller."""
        flow.used_at = now
        flow.balancer = host
        flow.caller_acknowledged = packet.acknowledged
        flow.is_confirmed = True
        flow.opening = None
        if packet.is_reset:
            flow.caller_ended = flow.backend_ended = True
        elif packet.is_final:
            flow.caller_ended = True

    def _is_left(self, now: float) -> bool:
        """Whether the backend server is published no more and sends nothing."""
        return (
            self.gate.is_missing(now=now)
            and now - self.liveness.heard_at > ABSENCE_LEASE_S
        )

    # Packets from the backend server

    def on_backend_packet(self, data: bytes) -> None:
        """Pass one datagram of the backend server on, or take it back."""
        packet = self.codec.decode_from_backend_server(data)
        if packet is None:
            return
        now = trio.current_time()
        self.liveness.note_heard(now=now)
        if packet.is_returned:
            self._take_back(packet, now=now)
            return
        self.links.answer(packet.key, data)
        self._note_from_backend(packet, now=now)
        self.requests.start_waiting(self.table.flows, now=now)

    def _note_from_backend(self, packet: Packet, *, now: float) -> None:
        """Keep the state of a flow up to date with a packet of the backend server."""
        # The answer to an opening packet shows nothing: another backend server may have
        # opened the flow since.
        search = None if packet.is_opening else self.searches.take(packet.key)
        host = "" if search is None else search.balancer
        flow = self.table.ensure(packet.key, balancer=host, now=now)
        flow.is_answered = True
        flow.is_established = flow.is_established or flow.is_confirmed or bool(host)
        if search is not None:
            self.links.claim(host, packet.key)
            self.requests.note_found(flow, search, now=now)
        if packet.is_acknowledging:
            self.requests.note_acknowledged(flow, packet.acknowledged)
        if packet.payload_bytes:
            self.requests.note_answer(flow, now=now)
        if packet.is_reset:
            self._log_reset(flow, now=now)
            self.requests.drop(flow, now=now)
            flow.caller_ended = flow.backend_ended = True
        elif packet.is_final:
            flow.backend_ended = True

    def _take_back(self, packet: Packet, *, now: float) -> None:
        """Decide about a packet that the backend server gave back."""
        key = packet.key
        data = self.codec.restore(packet)
        flow = self.table.get(key)
        search = self.searches.take(key)
        if packet.is_opening:
            self._take_back_opening(flow, key, data, now=now)
            return
        self.searches.note_absent(key, now=now)
        self._forget(key, now=now)
        if search is not None:
            self.links.give_back(search.balancer, key, data, ReturnReason.NOT_HELD)
        elif flow is not None and not (flow.is_confirmed and flow.is_ended):
            # A backend server that held the flow and denies it was started anew.
            reason = ReturnReason.LOST if flow.is_established else ReturnReason.NOT_HELD
            self.links.give_back(flow.balancer, key, data, reason)

    def _take_back_opening(
        self, flow: HeldFlow | None, key: FlowKey, data: bytes, *, now: float
    ) -> None:
        """Return an opening packet that the backend server turned away."""
        if flow is not None and flow.is_answered:
            return
        self.full_until = now + FULL_PAUSE_S
        self._forget(key, now=now)
        if flow is not None:
            self.links.give_back(flow.balancer, key, data, ReturnReason.FULL)

    def _forget(self, key: FlowKey, *, now: float) -> None:
        """Drop a flow with its request."""
        self.openings.pop(key, None)
        flow = self.table.forget(key)
        if flow is not None:
            self.requests.drop(flow, now=now)

    # What happens with time

    @property
    def is_waiting(self) -> bool:
        """Whether an answer or a slot is waited for, or a crash is suspected."""
        return bool(
            self.openings
            or self.searches
            or self.requests.queue
            or self.search_service.is_searching
            or self.liveness.unanswered
        )

    def on_tick(self) -> None:
        """Give unanswered packets back, start what waits, report the load."""
        now = trio.current_time()
        self.liveness.note_tick(now=now)
        self._give_back_openings(now - OPENING_TIMEOUT_S)
        if self.liveness.is_gone() or self.holds_nothing:
            self.searches.deny_all()
        self.search_service.repeat(now=now)
        if self.requests.is_busy:
            self.requests.drop_useless(self.table.flows.values(), now=now)
        self.requests.start_waiting(self.table.flows, now=now)
        if self.reporter.is_due(fleet_size=len(self.register.backends), now=now):
            self._report(now)

    def _report(self, now: float) -> None:
        """Offer the balancers a report of the load."""
        fleet_size = len(self.register.backends)
        self.reporter.offer(self._make_report(now), fleet_size=fleet_size, now=now)

    def _make_report(self, now: float) -> LoadReport:
        return self.requests.meter.report(
            service=self.service,
            flows=self.table.count_open(),
            waiting=len(self.requests.queue),
            is_accepting=self._is_accepting(now),
            now=now,
        )

    @property
    def holds_nothing(self) -> bool:
        """Whether the backend server has ended, or is neither there nor published."""
        if self.liveness.has_ended:
            return True
        return self.liveness.is_refused and self.gate.record is None

    def note_probe(self, outcome: ProbeOutcome, *, checked_at: float) -> None:
        """
        Take in what a connection to the backend server showed.

        If that proves that it has ended, every flow that was open before the check is
        gone: callers open new ones at once, and don't send a request that can't be
        repeated into a flow that nobody answers.
        """
        now = trio.current_time()
        self.liveness.note_probe(outcome, now=checked_at)
        if not self.liveness.has_ended:
            return
        for flow in self.table.older_than(checked_at):
            self._lose(flow, now=now)
        self._give_back_openings(checked_at)
        self.searches.deny_all()

    def depart(self) -> None:
        """Tell every process that this one ends, and that nothing is held here."""
        for host in self.members.members:
            self.links.tell(host, Departure(service=self.service))

    def _lose(self, flow: HeldFlow, *, now: float) -> None:
        """Forget a flow that its backend server took with it, and tell the caller."""
        if flow.opening is not None:
            return
        if flow.is_established and not flow.is_ended:
            data = self.codec.make_reset(flow.key, sequence=flow.caller_acknowledged)
            self.links.reset(flow.key, data, reason="backend_gone")
        self.searches.note_absent(flow.key, now=now)
        self._forget(flow.key, now=now)

    def expire(self) -> None:
        """Forget what is over."""
        now = trio.current_time()
        self.search_service.expire(now=now)
        for flow in self.table.expire(now=now):
            self.requests.drop(flow, now=now)
        self.searches.expire(now=now)

    def on_state_change(self) -> None:
        """Take the published record of the backend server in."""
        record = self.gate.take_record()
        if record is None:
            return
        self.requests.meter.slots = record.slots
        if self.lifetime not in (0, record.started_at_ms):
            self._note_restart(record.started_at_ms)
        self.lifetime = record.started_at_ms

    def _note_restart(self, started_at_ms: int) -> None:
        """Free the slots of requests that ended with an earlier start."""
        now = trio.current_time()
        started_at = now - max(0.0, time.time() - started_at_ms / 1000)
        lost = [
            flow
            for flow in self.table.flows.values()
            if flow.requested_at is not None and flow.requested_at < started_at
        ]
        for flow in lost:
            self.requests.drop(flow, now=now)
        logger.warning(
            "the backend server started anew",
            extra={
                "code": "backend_restarted",
                "started_at_ms": started_at_ms,
                "requests": len(lost),
            },
        )

    def _give_back_openings(self, limit: float) -> None:
        """Give opening packets back that got no answer since ``limit``."""
        now = trio.current_time()
        for flow in list(self.openings.values()):
            if flow.opening is None or flow.is_answered:
                del self.openings[flow.key]
            elif flow.opened_at <= limit:
                self._forget(flow.key, now=now)
                self.links.give_back(
                    flow.balancer, flow.key, flow.opening, ReturnReason.UNANSWERED
                )

    def _is_accepting(self, now: float) -> bool:
        if now < self.full_until or not self.liveness.is_worth_trying():
            return False
        record = self.gate.record
        return record is None or record.state is BackendState.READY

    def _log_reset(self, flow: HeldFlow, *, now: float) -> None:
        logger.info(
            "the backend server reset a flow",
            extra={
                "code": "backend_reset",
                "flow": describe_flow(flow.key),
                "is_confirmed": flow.is_confirmed,
                "age_s": round(now - flow.opened_at, 3),
                "busy": self.requests.meter.busy,
                "flows": len(self.table.flows),
            },
        )
