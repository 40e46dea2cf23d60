"""The flows of one backend server, as its agent saw them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


# A flow that ended is remembered for the last packets of its caller.
CLOSED_FLOW_TTL_S = 5.0
# Sequence numbers of packets have 32 bits and wrap.
SEQUENCE_MODULUS = 2**32


@attrs.define(kw_only=True, eq=False)
class HeldFlow:
    """
    A flow that the backend server opened or may open.

    ``balancer`` is the host that sent its last packet. ``is_answered`` once the
    backend server sent a packet of it, ``is_confirmed`` once the caller sent one that
    isn't an opening, ``is_established`` once the backend server reacted to that.
    ``requested_at`` is when the request in progress began, None while there is none,
    ``waited_s`` how long it waited for a slot before, and ``request_expires_at`` when
    its caller gives up at the latest.
    ``received_up_to`` is the sequence number after the caller's last new byte,
    ``caller_acknowledged`` the byte that it expects next. Times are in trio's seconds.
    """

    key: FlowKey
    balancer: str
    used_at: float
    opening: bytes | None = None
    opened_at: float = 0.0
    is_answered: bool = False
    is_confirmed: bool = False
    is_established: bool = False
    requested_at: float | None = None
    request_expires_at: float = 0.0
    waited_s: float = 0.0
    busy_at_request: int = 0
    received_up_to: int | None = None
    caller_acknowledged: int = 0
    caller_closed: bool = False
    backend_closed: bool = False

    def record_payload(self, packet: Packet) -> bool:
        """Note the payload of a caller; return whether any of it is new."""
        end = (packet.sequence + packet.payload_bytes) % SEQUENCE_MODULUS
        if self.has_received(end):
            return False
        self.received_up_to = end
        return True

    def on_acknowledged(self, sequence: int) -> None:
        """Note up to where the backend server has the caller's bytes."""
        if not self.has_received(sequence):
            self.received_up_to = sequence

    def has_received(self, sequence: int) -> bool:
        """Whether all bytes before a sequence number came before."""
        if self.received_up_to is None:
            return False
        ahead = (sequence - self.received_up_to) % SEQUENCE_MODULUS
        return not 0 < ahead < SEQUENCE_MODULUS // 2

    @property
    def is_closed(self) -> bool:
        """Whether both ends closed the flow."""
        return self.caller_closed and self.backend_closed


class FlowTable:
    """Flows by key."""

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.flows: dict[FlowKey, HeldFlow] = {}

    def get(self, key: FlowKey) -> HeldFlow | None:
        """Return a flow, if it is known."""
        return self.flows.get(key)

    def get_or_create(self, key: FlowKey, *, balancer: str, now: float) -> HeldFlow:
        """Return a flow, noted anew if it wasn't known."""
        flow = self.flows.get(key)
        if flow is None:
            flow = HeldFlow(key=key, balancer=balancer, used_at=now)
            self.flows[key] = flow
        flow.used_at = now
        return flow

    def remove(self, key: FlowKey) -> HeldFlow | None:
        """Drop a flow; return it."""
        return self.flows.pop(key, None)

    def idle_since(self, moment: float) -> list[HeldFlow]:
        """Return the flows of which nothing came since a moment."""
        return [flow for flow in self.flows.values() if flow.used_at < moment]

    def count_open(self) -> int:
        """Return the number of flows that the backend server opened and still holds."""
        return sum(
            flow.is_answered and not flow.is_closed for flow in self.flows.values()
        )

    def expire(self, *, now: float) -> list[HeldFlow]:
        """Drop and return flows that ended or were idle for too long."""
        expired = [flow for flow in self.flows.values() if self._is_expired(flow, now)]
        for flow in expired:
            del self.flows[flow.key]
        return expired

    def _is_expired(self, flow: HeldFlow, now: float) -> bool:
        idle_s = CLOSED_FLOW_TTL_S if flow.is_closed else self.idle_timeout_s
        return now - flow.used_at > idle_s
