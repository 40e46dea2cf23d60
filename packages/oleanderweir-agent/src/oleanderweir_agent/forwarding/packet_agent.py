"""The agent of one backend server: knows which flows it holds."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.flows import caller_host
from oleanderweir.flows import describe_flow
from oleanderweir.flows import route_address
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
from oleanderweir_agent.forwarding.flow_table import FlowTable
from oleanderweir_agent.forwarding.load_meter import LoadMeter
from oleanderweir_agent.forwarding.request_queue import RequestQueue
from oleanderweir_agent.forwarding.search import Search
from oleanderweir_agent.forwarding.waiting_request import WaitingRequest


if TYPE_CHECKING:
    from oleanderweir.desired_state import Route
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import Message
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.opening_gate import OpeningGate
    from oleanderweir_agent.forwarding.packet_agent_settings import PacketAgentSettings


logger = logging.getLogger(__name__)

# A backend server that answers no opening packet for this long is passed over.
OPENING_TIMEOUT_S = 0.06
# After a refused opening packet the balancers are told that there is no room.
FULL_PAUSE_S = 0.1
# How long a flow that the backend server gave back is known not to be held.
ABSENCE_LEASE_S = 5.0
# Reports without a change; below the silence that balancers bear.
REPORT_KEEPALIVE_S = 0.3
DEFAULT_SLOTS = 4
# How long a request of no known route may hold a slot without an answer.
REQUEST_LEASE_S = 5.0


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
        settings: PacketAgentSettings,
        codec: PacketCodec,
        register: StateRegister,
        members: Members,
        gate: OpeningGate,
        peer_socket: UdpSocket,
        backend_socket: UdpSocket,
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.register = register
        self.members = members
        self.gate = gate
        self.peer_socket = peer_socket
        self.backend_socket = backend_socket
        self.table = FlowTable(idle_s=settings.flow_ttl_s)
        self.meter = LoadMeter(slots=DEFAULT_SLOTS)
        self.queue = RequestQueue()
        self.liveness = BackendLiveness()
        # Balancers that wait to hear whether the backend server holds a flow.
        self.searches: dict[FlowKey, Search] = {}
        # Flows whose opening packet the backend server hasn't answered.
        self.openings: dict[FlowKey, HeldFlow] = {}
        # Flows that the backend server gave back, and when.
        self.absent: dict[FlowKey, float] = {}
        self.full_until = float("-inf")
        self.lifetime = 0
        self.last_report: bytes = b""
        self.reported_at = float("-inf")

    # Packets from balancers

    def on_message(self, host: str, message: Message) -> None:
        """Take in what a balancer says."""
        if not isinstance(message, Delivery):
            return
        packet = self.codec.decode_from_caller(message.data)
        if packet is None:
            return
        now = trio.current_time()
        if packet.is_opening:
            self._open(host, packet, version=message.version, now=now)
        else:
            self._continue(host, packet, message, now=now)

    def _open(self, host: str, packet: Packet, *, version: int, now: float) -> None:
        """Check an opening packet, and hand it to the backend server."""
        known = self.table.get(packet.key)
        if known is not None and known.is_confirmed:
            # A late copy; its flow is open and needs no other answer.
            return
        reason = self.gate.check(packet.key, version=version)
        if reason is None and not self.liveness.is_worth_trying(now=now):
            reason = ReturnReason.FULL
        if reason is not None:
            self._give_back(host, packet.data, reason, packet.key)
            return
        self.absent.pop(packet.key, None)
        flow = self.table.ensure(packet.key, balancer=host, now=now)
        flow.balancer = host
        flow.opening = packet.data
        flow.opened_at = now
        self.openings[flow.key] = flow
        self.liveness.note_opening(now=now)
        self._hand_over(packet.data)

    def _continue(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Hand a packet over if the backend server holds its flow, or may hold it."""
        flow = self.table.get(packet.key)
        if flow is not None and self.liveness.is_gone(now=now):
            self._drop(packet.key, now=now)
            self._give_back(host, packet.data, ReturnReason.LOST, packet.key)
            return
        if flow is not None:
            self._note_from_caller(host, flow, packet, now=now)
            self._pass_on(flow, packet, now=now)
            if message.purpose is DeliveryPurpose.FIND:
                self._claim(host, packet.key)
            return
        # Only a search may try a flow here whose route leads to another service: it
        # can be one that was opened before the route moved.
        is_foreign = (
            message.purpose is not DeliveryPurpose.FIND
            and not self.gate.allows_route(packet.key, version=message.version)
        )
        if is_foreign or self._is_absent(packet.key, now):
            self._give_back(host, packet.data, ReturnReason.NOT_HELD, packet.key)
            return
        self.searches[packet.key] = Search(
            balancer=host, data=packet.data, asked_at=now
        )
        self._hand_over(packet.data)

    def _note_from_caller(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Keep the state of a flow up to date with a packet of its caller."""
        flow.used_at = now
        flow.balancer = host
        flow.is_confirmed = True
        flow.opening = None
        if packet.is_reset:
            self.queue.remove(flow.key)
            self.meter.drop_request(flow, now=now)
            flow.caller_ended = flow.backend_ended = True
        elif packet.is_final:
            self.meter.drop_request(flow, now=now)
            flow.caller_ended = True

    def _pass_on(self, flow: HeldFlow, packet: Packet, *, now: float) -> None:
        """Hand a packet over, or let its request wait for a free slot."""
        is_new = packet.payload_bytes > 0 and flow.takes_new_bytes(packet)
        if not packet.payload_bytes:
            # The end of a flow stays behind the request that waits on it.
            is_kept = packet.is_final and self.queue.append(flow.key, packet.data)
            if not is_kept:
                self._hand_over(packet.data)
        elif self.queue.append(flow.key, packet.data):
            return
        elif flow.requested_at is not None or not is_new:
            self._hand_over(packet.data)
        elif self.meter.has_free_slot or not self._let_wait(flow, packet, now=now):
            self._start_request(flow, [packet.data], now=now)

    def _let_wait(self, flow: HeldFlow, packet: Packet, *, now: float) -> bool:
        """Let a request wait; return whether it does."""
        route = self._find_route(flow.key)
        if route is None:
            return False
        request = WaitingRequest(
            key=flow.key,
            packets=[packet.data],
            arrived_at=now,
            wanted_at=now + route.target_latency_s,
            useless_at=now + route.timeout_s,
            priority=route.priority,
        )
        return self.queue.add(request)

    def _find_route(self, key: FlowKey) -> Route | None:
        desired = self.register.desired
        return None if desired is None else desired.routes.get(route_address(key))

    def _start_request(
        self, flow: HeldFlow, packets: list[bytes], *, now: float
    ) -> None:
        """Give a request to the backend server."""
        self.meter.note_request(flow, now=now)
        route = self._find_route(flow.key)
        timeout_s = REQUEST_LEASE_S if route is None else route.timeout_s
        flow.request_expires_at = now + timeout_s
        logger.info(
            "request started",
            extra={
                "code": "request_started",
                "flow": describe_flow(flow.key),
                "busy": self.meter.busy,
                "slots": self.meter.slots,
                "waiting": len(self.queue),
            },
        )
        for data in packets:
            self._hand_over(data)

    def _start_waiting(self, now: float) -> None:
        """Give waiting requests the slots that are free."""
        while self.queue and self.meter.has_free_slot:
            request = self.queue.take_next(now=now, service_s=self.meter.service_s)
            if request is None:
                return
            flow = self.table.get(request.key)
            if flow is not None:
                self._start_request(flow, request.packets, now=now)

    def _is_absent(self, key: FlowKey, now: float) -> bool:
        """Whether the backend server gave a packet of the flow back lately."""
        since = self.absent.get(key)
        return since is not None and now - since < ABSENCE_LEASE_S

    # Packets from the backend server

    def on_backend_packet(self, data: bytes) -> None:
        """Pass one datagram of the backend server on, or take it back."""
        packet = self.codec.decode_from_backend_server(data)
        if packet is None:
            return
        now = trio.current_time()
        self.liveness.note_heard()
        if packet.is_returned:
            self._take_back(packet, now=now)
            return
        caller = (caller_host(packet.key), self.settings.caller_port)
        self.backend_socket.send_to(data, caller)
        self._note_from_backend(packet, now=now)

    def _note_from_backend(self, packet: Packet, *, now: float) -> None:
        """Keep the state of a flow up to date with a packet of the backend server."""
        search = self.searches.pop(packet.key, None)
        host = "" if search is None else search.balancer
        flow = self.table.ensure(packet.key, balancer=host, now=now)
        flow.is_answered = True
        flow.is_established = flow.is_established or flow.is_confirmed or bool(host)
        if host:
            self._claim(host, packet.key)
        if packet.payload_bytes:
            self._note_answer(flow, now=now)
        if packet.is_reset:
            self._log_reset(flow, now=now)
            self.meter.drop_request(flow, now=now)
            flow.caller_ended = flow.backend_ended = True
        elif packet.is_final:
            flow.backend_ended = True
        self._start_waiting(now)

    def _note_answer(self, flow: HeldFlow, *, now: float) -> None:
        """Note the first payload of an answer."""
        if flow.requested_at is None:
            return
        logger.info(
            "request answered",
            extra={
                "code": "request_answered",
                "flow": describe_flow(flow.key),
                "took_ms": round((now - flow.requested_at) * 1000, 1),
                "busy": self.meter.busy,
            },
        )
        self.meter.note_answer(flow, now=now)

    def _take_back(self, packet: Packet, *, now: float) -> None:
        """Decide about a packet that the backend server gave back."""
        key = packet.key
        data = self.codec.restore(packet)
        flow = self.table.get(key)
        search = self.searches.pop(key, None)
        if packet.is_opening:
            if flow is not None and flow.is_answered:
                return
            self.full_until = now + FULL_PAUSE_S
            self._drop(key, now=now)
            if flow is not None:
                self._give_back(flow.balancer, data, ReturnReason.FULL, key)
            return
        self.absent[key] = now
        self._drop(key, now=now)
        if search is not None:
            self._give_back(search.balancer, data, ReturnReason.NOT_HELD, key)
        elif flow is not None and not (flow.is_confirmed and flow.is_ended):
            # A backend server that held the flow and denies it was started anew.
            reason = ReturnReason.LOST if flow.is_established else ReturnReason.NOT_HELD
            self._give_back(flow.balancer, data, reason, key)

    def _drop(self, key: FlowKey, *, now: float) -> None:
        self.queue.remove(key)
        self.openings.pop(key, None)
        flow = self.table.forget(key)
        if flow is not None:
            self.meter.drop_request(flow, now=now)

    # What happens with time

    def on_tick(self) -> None:
        """Give unanswered opening packets back, report the load, forget the old."""
        now = trio.current_time()
        self.liveness.note_tick(now=now)
        self._give_back_unanswered(now)
        self._deny_searches(now)
        self._drop_useless(now)
        self._start_waiting(now)
        self._report(now)

    def expire(self) -> None:
        """Forget what is over."""
        now = trio.current_time()
        for flow in self.table.expire(now=now):
            self.meter.drop_request(flow, now=now)
        limit = now - ABSENCE_LEASE_S
        self.absent = {k: since for k, since in self.absent.items() if since > limit}
        self.searches = {
            k: it for k, it in self.searches.items() if it.asked_at > limit
        }

    def on_state_change(self) -> None:
        """Take the published record of the backend server in."""
        record = self.gate.find_record()
        if record is None:
            return
        self.meter.slots = record.slots
        if self.lifetime not in (0, record.started_at_ms):
            self._lose_flows(record.started_at_ms)
        self.lifetime = record.started_at_ms

    def _lose_flows(self, started_at_ms: int) -> None:
        """Forget the flows of an earlier start of the backend server."""
        now = trio.current_time()
        logger.warning(
            "the backend server started anew",
            extra={
                "code": "backend_restarted",
                "started_at_ms": started_at_ms,
                "flows": len(self.table.flows),
            },
        )
        for key in [k for k, f in self.table.flows.items() if f.requested_at]:
            self._drop(key, now=now)

    def _give_back_unanswered(self, now: float) -> None:
        """Give opening packets back that the backend server stays silent on."""
        limit = now - OPENING_TIMEOUT_S
        for flow in list(self.openings.values()):
            if flow.opening is None or flow.is_answered:
                del self.openings[flow.key]
            if flow.opening is None or flow.is_answered or flow.opened_at > limit:
                continue
            self._give_back(
                flow.balancer, flow.opening, ReturnReason.UNANSWERED, flow.key
            )
            self._drop(flow.key, now=now)

    def _deny_searches(self, now: float) -> None:
        """Answer searches that a backend server which is gone never will."""
        if not self.liveness.is_gone(now=now):
            return
        for key, search in self.searches.items():
            self._give_back(search.balancer, search.data, ReturnReason.NOT_HELD, key)
        self.searches.clear()

    def _drop_useless(self, now: float) -> None:
        """Forget requests whose callers gave up, before and after their start."""
        for request in self.queue.take_useless(now=now):
            logger.info(
                "a request waited for longer than its caller does",
                extra={
                    "code": "request_expired",
                    "flow": describe_flow(request.key),
                    "busy": self.meter.busy,
                    "slots": self.meter.slots,
                    "waiting": len(self.queue),
                },
            )
        for flow in self.table.flows.values():
            if flow.requested_at is not None and flow.request_expires_at < now:
                self.meter.drop_request(flow, now=now)

    def _report(self, now: float) -> None:
        """Tell the balancers of the load when it changed, and from time to time."""
        report = self.meter.report(
            service=self.settings.service,
            flows=self.table.count_open(),
            waiting=len(self.queue),
            is_accepting=self._is_accepting(now),
            now=now,
        )
        message = encode_message(report)
        is_due = now - self.reported_at >= REPORT_KEEPALIVE_S
        if message == self.last_report and not is_due:
            return
        self.last_report = message
        self.reported_at = now
        for host in self.members.hosts(PeerRole.BALANCER):
            self.peer_socket.send_to(message, (host, self.settings.peer_port))

    def _is_accepting(self, now: float) -> bool:
        if now < self.full_until or not self.liveness.is_worth_trying(now=now):
            return False
        record = self.gate.find_record()
        return record is None or record.state.value == "ready"

    # Sending

    def _hand_over(self, data: bytes) -> None:
        self.backend_socket.send_to(data, self.settings.backend_address.pair)

    def _claim(self, host: str, key: FlowKey) -> None:
        message = encode_message(OwnerNotice(key=key))
        self.peer_socket.send_to(message, (host, self.settings.peer_port))

    def _log_reset(self, flow: HeldFlow, *, now: float) -> None:
        logger.info(
            "the backend server reset a flow",
            extra={
                "code": "backend_reset",
                "flow": describe_flow(flow.key),
                "is_confirmed": flow.is_confirmed,
                "age_s": round(now - flow.opened_at, 3),
                "busy": self.meter.busy,
                "flows": len(self.table.flows),
            },
        )

    def _give_back(
        self, host: str, data: bytes, reason: ReturnReason, key: FlowKey
    ) -> None:
        message = encode_message(ReturnedPacket(reason=reason, data=data))
        self.peer_socket.send_to(message, (host, self.settings.peer_port))
        logger.info(
            "packet given back",
            extra={
                "code": "packet_given_back",
                "reason_code": reason.name,
                "flow": describe_flow(key),
                "balancer": host,
                "version": self.register.version,
                "busy": self.meter.busy,
            },
        )
