"""Checks whether the backend server holds flows that the agent has no entry of."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.ownership_check import OwnershipCheck


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport


# How long a check waits for the backend server.
CHECK_TTL_S = 5.0
# Delay before a packet is forwarded again, doubled each time: a backend server that
# doesn't listen yet loses it.
FIRST_REPEAT_S = 0.4
# A flow's packets shouldn't keep reaching other backend servers.
MAX_REPEATS = 3


class OwnershipChecker:
    """
    Forwards packets of unknown flows to the backend server.

    The backend server answers a packet of a flow that it holds, and returns any other.
    A negative result holds until the flow is opened there, and is cached for
    ``flow_ttl_s``: a packet of a flow should reach no other backend server again while
    the agent of its own is being restarted. The length of a checker is the number of
    pending checks.
    """

    def __init__(self, *, transport: AgentTransport, flow_ttl_s: float) -> None:
        self.transport = transport
        self.flow_ttl_s = flow_ttl_s
        # Pending checks, by flow.
        self.checks: dict[FlowKey, OwnershipCheck] = {}
        # When the backend server was last seen not to hold a flow, by flow.
        self.not_held_since: dict[FlowKey, float] = {}

    def __len__(self) -> int:
        return len(self.checks)

    def start(self, host: str, packet: Packet, *, now: float) -> None:
        """Forward a packet of an unknown flow to the backend server."""
        end_sequence = packet.sequence + packet.payload_bytes
        self.checks[packet.key] = OwnershipCheck(
            balancer=host,
            data=packet.data,
            started_at=now,
            forwarded_at=now,
            end_sequence=end_sequence if packet.payload_bytes else None,
            sequence=packet.sequence,
            acknowledged=packet.acknowledged,
            is_final=packet.is_final,
        )
        self.transport.forward_to_backend(packet.data)

    def repeat_unanswered(self, *, now: float) -> None:
        """
        Forward packets again that the backend server has not answered.

        A mere acknowledgement needs no answer: repeating it would only show it to one
        more backend server than the flow's own after the owner was found.
        """
        for check in self.checks.values():
            if not check.needs_answer:
                continue
            wait_s = math.ldexp(FIRST_REPEAT_S, check.repeats)
            if check.repeats < MAX_REPEATS and now - check.forwarded_at >= wait_s:
                check.repeats += 1
                check.forwarded_at = now
                self.transport.forward_to_backend(check.data)

    def is_answered_for_another(self, answer: Packet) -> bool:
        """Whether the answer to a check is one of an ended flow of the same port."""
        check = self.checks.get(answer.key)
        return check is not None and check.is_answered_for_another(answer)

    def pop(self, key: FlowKey) -> OwnershipCheck | None:
        """Remove and return the pending check of a flow, if there is one."""
        return self.checks.pop(key, None)

    def record_not_held(self, key: FlowKey, *, now: float) -> None:
        """Record that the backend server doesn't hold a flow."""
        self.not_held_since[key] = now

    def on_opening(self, key: FlowKey) -> None:
        """
        Discard the negative result of a flow that is opened now, and a pending check.

        An unanswered one of a mere acknowledgement was of an earlier flow of the port;
        another may await its answer, and the opening packet be a late copy.
        """
        self.not_held_since.pop(key, None)
        check = self.checks.get(key)
        if check is not None and not check.needs_answer:
            del self.checks[key]

    def is_not_held(self, key: FlowKey, *, now: float) -> bool:
        """Whether the backend server was recorded as not holding the flow."""
        since = self.not_held_since.get(key)
        return since is not None and now - since < self.flow_ttl_s

    def deny_all(self, *, started_before: float = math.inf, **inputs: object) -> None:
        """
        Deny pending checks, with the inputs of the decision for the log.

        Used when the backend server can't answer them.
        """
        denied = {
            key: check
            for key, check in self.checks.items()
            if check.started_at < started_before
        }
        for key, check in denied.items():
            del self.checks[key]
            self.transport.return_packet(
                check.balancer,
                key,
                check.data,
                ReturnReason.NOT_HELD,
                is_port_used=False,
                **inputs,
            )

    def expire(self, *, now: float) -> None:
        """Drop old negative results, and checks that were not answered."""
        limit = now - self.flow_ttl_s
        self.not_held_since = {
            key: since for key, since in self.not_held_since.items() if since > limit
        }
        limit = now - CHECK_TTL_S
        self.checks = {
            key: check for key, check in self.checks.items() if check.started_at > limit
        }
