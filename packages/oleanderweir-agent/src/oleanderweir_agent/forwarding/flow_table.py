"""The flows of one backend server, tracked from the packets that pass the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.flows import SEQUENCE_MODULUS
from oleanderweir.flows import are_far


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_agent.forwarding.request_transfer import RequestTransfer


# How long a closed flow is kept, for the last packets of its caller.
CLOSED_FLOW_TTL_S = 5.0


@attrs.define(kw_only=True, eq=False)
class HeldFlow:
    """
    A flow that the backend server has opened or may open.

    ``balancer`` is the host that sent the caller's last packet, ``opening`` the opening
    packet until the caller sends another one. ``is_answered`` is set once the backend
    server has sent a packet of the flow, ``is_confirmed`` once the caller has sent a
    packet other than the opening packet, and ``is_established`` once the backend server
    has sent a packet after that, or has answered an ownership check.

    ``answered_sequence`` is the backend server's first sequence number, by its answer
    to the opening packet.

    ``claimants`` are the hosts that queried the flow before it was established, each
    with its last query, and ``is_overdue`` is set while an unanswered opening packet is
    about to be returned.

    ``requested_at`` is when the request in flight was started, None if there is none,
    ``busy_at_request`` the number of requests in flight then, itself included,
    ``waited_s`` how long it was queued before, and ``request_expires_at`` when its
    caller gives up at the latest.

    ``transfer`` tracks a request of several packets until the last one has arrived.
    ``received_up_to`` is the sequence number after the last byte received from the
    caller, ``caller_acknowledged`` that of the next byte that the caller expects.
    ``is_reset_by_caller`` is set if a caller's reset closed the flow; a backend server
    may ignore one that belongs to another flow of the port. Times are in seconds of
    trio's clock.
    """

    key: FlowKey
    balancer: str
    used_at: float
    opening: bytes | None = None
    opened_at: float = 0.0
    is_answered: bool = False
    answered_sequence: int | None = None
    is_confirmed: bool = False
    is_established: bool = False
    is_overdue: bool = False
    claimants: dict[str, bytes] = attrs.field(factory=dict)
    requested_at: float | None = None
    request_expires_at: float = 0.0
    waited_s: float = 0.0
    busy_at_request: int = 0
    transfer: RequestTransfer | None = None
    received_up_to: int | None = None
    caller_acknowledged: int = 0
    is_reset_by_caller: bool = False
    caller_closed: bool = False
    backend_closed: bool = False

    def record_payload(self, packet: Packet) -> bool:
        """Record a caller's payload; return whether any of its bytes are new."""
        end = (packet.sequence + packet.payload_bytes) % SEQUENCE_MODULUS
        if self.has_received(end):
            return False
        self.received_up_to = end
        return True

    def on_acknowledged(self, sequence: int) -> None:
        """Record that the backend server has the caller's bytes before ``sequence``."""
        if not self.has_received(sequence):
            self.received_up_to = sequence

    def has_received(self, sequence: int) -> bool:
        """Whether all bytes before a sequence number were received."""
        if self.received_up_to is None:
            return False
        ahead = (sequence - self.received_up_to) % SEQUENCE_MODULUS
        return not 0 < ahead < SEQUENCE_MODULUS // 2

    def is_of_later_flow(self, packet: Packet) -> bool:
        """Whether a caller's packet belongs to a flow that uses the port again."""
        return self.is_closed and self._is_far_from(packet)

    def may_be_of_later_flow(self, packet: Packet) -> bool:
        """
        Whether a packet doesn't follow what the caller sent, or else was answered.

        A flow that was claimed by a query may be open without a packet of its caller.
        """
        known = self.caller_acknowledged or self.answered_sequence or 0
        return known != 0 and are_far(packet.acknowledged, known)

    def acknowledges_answer(self, packet: Packet) -> bool:
        """Whether a caller's packet acknowledges this backend server's answer."""
        sequence = self.answered_sequence
        return sequence is not None and not are_far(packet.acknowledged, sequence)

    def _is_far_from(self, packet: Packet) -> bool:
        """Whether a caller's acknowledgement is too far from the last one."""
        return are_far(packet.acknowledged, self.caller_acknowledged)

    def describe_progress(self) -> dict[str, bool]:
        """Return how far the flow is established, as inputs of log lines."""
        return {
            "is_answered": self.is_answered,
            "is_confirmed": self.is_confirmed,
            "is_established": self.is_established,
        }

    @property
    def is_closed(self) -> bool:
        """Whether both sides have closed the flow."""
        return self.caller_closed and self.backend_closed


class FlowTable:
    """Flows by key, removed after ``idle_timeout_s`` without a packet."""

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.flows: dict[FlowKey, HeldFlow] = {}

    def get(self, key: FlowKey) -> HeldFlow | None:
        """Return a flow, or None if it isn't in the table."""
        return self.flows.get(key)

    def get_or_create(self, key: FlowKey, *, balancer: str, now: float) -> HeldFlow:
        """Return a flow, added if it isn't in the table, and mark it as used."""
        flow = self.flows.get(key)
        if flow is None:
            flow = HeldFlow(key=key, balancer=balancer, used_at=now)
            self.flows[key] = flow
        flow.used_at = now
        return flow

    def remove(self, key: FlowKey) -> HeldFlow | None:
        """Remove and return a flow, if it is in the table."""
        return self.flows.pop(key, None)

    def idle_since(self, moment: float) -> list[HeldFlow]:
        """Return the flows that were last used before ``moment``."""
        return [flow for flow in self.flows.values() if flow.used_at < moment]

    def count_open(self) -> int:
        """Return the number of flows that the backend server has open."""
        return sum(
            flow.is_answered and not flow.is_closed for flow in self.flows.values()
        )

    def expire(self, *, now: float) -> list[HeldFlow]:
        """Remove and return closed and idle flows whose time has expired."""
        expired = [flow for flow in self.flows.values() if self._is_expired(flow, now)]
        for flow in expired:
            del self.flows[flow.key]
        return expired

    def _is_expired(self, flow: HeldFlow, now: float) -> bool:
        idle_s = CLOSED_FLOW_TTL_S if flow.is_closed else self.idle_timeout_s
        return now - flow.used_at > idle_s
