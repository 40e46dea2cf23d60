"""Dispatches requests to the slots of the backend server."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir.flows import describe_flow
from oleanderweir.flows import route_address
from oleanderweir_agent.forwarding.load_meter import LoadMeter
from oleanderweir_agent.forwarding.queued_request import QueuedRequest
from oleanderweir_agent.forwarding.request_queue import RequestQueue
from oleanderweir_agent.forwarding.request_transfer import RequestTransfer


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.desired_state import Route
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.ownership_check import OwnershipCheck


logger = logging.getLogger(__name__)

# Slots of a backend server whose record is not known yet.
DEFAULT_SLOTS = 4
# How long an unanswered request may hold a slot if its route is not known.
DEFAULT_REQUEST_TIMEOUT_S = 5.0
# An opening packet may use up a sequence number, although it has no payload.
OPENING_SEQUENCE_NUMBERS = 1


class RequestDispatcher:
    """
    Tracks the request of each flow by payload, and queues requests without a free slot.

    A request of several packets needs a slot only once the last one has arrived: its
    caller may send them slowly, and the backend server can't run it before. The others
    are forwarded at once, and that one waits for the slot. Packets that carry no new
    request are forwarded at once.
    """

    def __init__(self, *, register: StateRegister, transport: AgentTransport) -> None:
        self.register = register
        self.transport = transport
        self.meter = LoadMeter(slots=DEFAULT_SLOTS)
        self.queue = RequestQueue()

    @property
    def is_saturated(self) -> bool:
        """
        Whether a new request would be queued for longer than one service time.

        During a burst, balancers place flows by reports from before it. Returning the
        new flows of a saturated backend server lets them reach one with a free slot, so
        that no backend server gets a long queue while others are idle.
        """
        return len(self.queue) >= self.meter.slots

    @property
    def is_busy(self) -> bool:
        """Whether any request is arriving, queued or in flight."""
        return bool(self.queue) or self.meter.busy > 0 or self.meter.receiving > 0

    def dispatch(self, flow: HeldFlow, packet: Packet, *, now: float) -> None:
        """Forward a caller's packet, or queue its request until a slot is free."""
        if not packet.payload_bytes:
            self._forward_empty(flow, packet, now=now)
            return
        received_before = flow.received_up_to
        is_new = flow.record_payload(packet)
        if self.queue.append(flow.key, packet.data):
            return
        if flow.requested_at is not None:
            self.transport.forward_to_backend(packet.data)
            return
        if flow.transfer is None and is_new and packet.is_full:
            self._begin_transfer(flow, received_before, packet, now=now)
        if not _completes_request(flow, packet, is_new=is_new):
            self.transport.forward_to_backend(packet.data)
        elif self.meter.has_free_slot or not self._enqueue(flow, packet, now=now):
            flow.waited_s = 0.0
            self._start(flow, [packet.data], now=now)

    def on_ownership_confirmed(
        self, flow: HeldFlow, check: OwnershipCheck, *, now: float
    ) -> None:
        """Count the request that an ownership check brought to the backend server."""
        if check.end_sequence is None:
            return
        flow.on_acknowledged(check.end_sequence)
        self._count_in_flight(flow, now=now)

    def on_acknowledged(self, flow: HeldFlow, sequence: int) -> None:
        """Record which bytes the backend server has; drop a queued copy of them."""
        request = self.queue.requests.get(flow.key)
        if request is not None and request.is_covered_by(sequence):
            self.queue.remove(flow.key)
        flow.on_acknowledged(sequence)

    def on_answer(self, flow: HeldFlow, *, now: float) -> None:
        """Complete the request of a flow when its backend server sends payload."""
        if flow.requested_at is None:
            self._end_transfer(flow)
            return
        logger.info(
            "request answered",
            extra={
                "code": "request_answered",
                "flow": describe_flow(flow.key),
                "took_ms": round((now - flow.requested_at) * 1000, 1),
                "waited_ms": round(flow.waited_s * 1000, 1),
                "busy": self.meter.busy,
                "slots": self.meter.slots,
                "waiting": len(self.queue),
                "version": self.register.version,
            },
        )
        self.meter.on_answer(flow, now=now)

    def drop(self, flow: HeldFlow, *, now: float) -> None:
        """Drop the request of a flow, queued or in flight."""
        self.queue.remove(flow.key)
        self._end_transfer(flow)
        if flow.requested_at is not None:
            self._log_unanswered(flow, now=now)
        self.meter.end_request(flow, now=now)

    def start_queued(self, flows: dict[FlowKey, HeldFlow], *, now: float) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.meter.has_free_slot:
            request = self.queue.pop_next(now=now, service_s=self.meter.service_s)
            if request is None:
                return
            flow = flows.get(request.key)
            if flow is not None:
                flow.waited_s = now - request.arrived_at
                self._log_started(flow)
                self._start(flow, request.packets, now=now)

    def drop_expired(self, flows: Iterable[HeldFlow], *, now: float) -> None:
        """Drop requests, queued or in flight, whose callers have given up."""
        for request in self.queue.pop_expired(now=now):
            logger.info(
                "request expired in the queue: no free slot before its timeout",
                extra={
                    "code": "request_expired",
                    "flow": describe_flow(request.key),
                    "waited_ms": round((now - request.arrived_at) * 1000),
                    "busy": self.meter.busy,
                    "slots": self.meter.slots,
                    "waiting": len(self.queue),
                },
            )
        for flow in flows:
            if flow.requested_at is not None and flow.request_expires_at < now:
                self._log_unanswered(flow, now=now)
                self.meter.end_request(flow, now=now)
            if flow.transfer is not None and self._has_expired(
                flow, flow.transfer, now=now
            ):
                self._end_transfer(flow)

    def _forward_empty(self, flow: HeldFlow, packet: Packet, *, now: float) -> None:
        """Forward a packet without payload, or queue a final one behind its request."""
        if packet.is_reset:
            self.drop(flow, now=now)
        elif packet.is_final:
            self.meter.end_request(flow, now=now)
            if self.queue.append(flow.key, packet.data):
                return
            self._end_transfer(flow)
        self.transport.forward_to_backend(packet.data)

    def _begin_transfer(
        self,
        flow: HeldFlow,
        received_before: int | None,
        packet: Packet,
        *,
        now: float,
    ) -> None:
        """Track a request whose first packet announces others."""
        origin = packet.sequence if received_before is None else received_before
        # The number of the opening packet is no byte that is missing.
        if packet.sequence - origin == OPENING_SEQUENCE_NUMBERS:
            origin = packet.sequence
        flow.transfer = RequestTransfer(began_at=now, origin=origin)
        self.meter.receiving += 1

    def _end_transfer(self, flow: HeldFlow) -> None:
        if flow.transfer is not None:
            flow.transfer = None
            self.meter.receiving -= 1

    def _has_expired(
        self, flow: HeldFlow, transfer: RequestTransfer, *, now: float
    ) -> bool:
        """Whether the caller of an arriving request has given up."""
        return now > transfer.began_at + self._timeout_s(flow.key)

    def _enqueue(self, flow: HeldFlow, packet: Packet, *, now: float) -> bool:
        """Queue a request; return False if the route is unknown or the queue full."""
        route = self._find_route(flow.key)
        if route is None:
            return False
        began_at = now if flow.transfer is None else flow.transfer.began_at
        request = QueuedRequest(
            key=flow.key,
            packets=[packet.data],
            end_sequence=packet.sequence + packet.payload_bytes,
            arrived_at=now,
            due_at=began_at + route.target_latency_s,
            expires_at=began_at + route.timeout_s,
            priority=route.priority,
        )
        if not self.queue.add(request):
            return False
        self._end_transfer(flow)
        return True

    def _start(self, flow: HeldFlow, packets: list[bytes], *, now: float) -> None:
        """Forward the packets of a request to the backend server."""
        self._count_in_flight(flow, now=now)
        for data in packets:
            self.transport.forward_to_backend(data)

    def _log_started(self, flow: HeldFlow) -> None:
        """Log the start of a queued request; others are logged on completion only."""
        logger.info(
            "request started",
            extra={
                "code": "request_started",
                "flow": describe_flow(flow.key),
                "waited_ms": round(flow.waited_s * 1000, 1),
                "busy": self.meter.busy,
                "slots": self.meter.slots,
                "waiting": len(self.queue),
                "version": self.register.version,
            },
        )

    def _log_unanswered(self, flow: HeldFlow, *, now: float) -> None:
        """Log a request in flight that is dropped without an answer."""
        started_at = now if flow.requested_at is None else flow.requested_at
        logger.info(
            "request dropped without an answer",
            extra={
                "code": "request_unanswered",
                "flow": describe_flow(flow.key),
                "waited_ms": round(flow.waited_s * 1000, 1),
                "ran_ms": round((now - started_at) * 1000, 1),
                "busy": self.meter.busy,
            },
        )

    def _count_in_flight(self, flow: HeldFlow, *, now: float) -> None:
        """Count the request of a flow as in flight until its caller gives up."""
        self._end_transfer(flow)
        self.meter.on_request(flow, now=now)
        flow.request_expires_at = now + self._timeout_s(flow.key)

    def _timeout_s(self, key: FlowKey) -> float:
        """Return for how long the caller of a flow waits, in seconds."""
        route = self._find_route(key)
        return DEFAULT_REQUEST_TIMEOUT_S if route is None else route.timeout_s

    def _find_route(self, key: FlowKey) -> Route | None:
        desired = self.register.desired
        return None if desired is None else desired.routes.get(route_address(key))


def _completes_request(flow: HeldFlow, packet: Packet, *, is_new: bool) -> bool:
    """Whether the backend server can run the request of a flow with this packet."""
    if flow.transfer is None:
        return is_new
    flow.transfer.record(packet)
    return flow.transfer.is_complete
