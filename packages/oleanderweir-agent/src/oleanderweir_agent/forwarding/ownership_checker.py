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


# How long a flow counts as not held after the backend server returned a packet of it.
NOT_HELD_TTL_S = 5.0


class OwnershipChecker:
    """
    Forwards packets of unknown flows to the backend server.

    The backend server answers a packet of a flow that it holds, and returns any other.
    A negative result is cached for ``NOT_HELD_TTL_S``. The length of a checker is the
    number of pending checks.
    """

    def __init__(self, *, transport: AgentTransport) -> None:
        self.transport = transport
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
            end_sequence=end_sequence if packet.payload_bytes else None,
        )
        self.transport.forward_to_backend(packet.data)

    def pop(self, key: FlowKey) -> OwnershipCheck | None:
        """Remove and return the pending check of a flow, if there is one."""
        return self.checks.pop(key, None)

    def record_not_held(self, key: FlowKey, *, now: float) -> None:
        """Record that the backend server doesn't hold a flow."""
        self.not_held_since[key] = now

    def on_opening(self, key: FlowKey) -> None:
        """Discard the negative result of a flow that is opened now."""
        self.not_held_since.pop(key, None)

    def is_not_held(self, key: FlowKey, *, now: float) -> bool:
        """Whether the backend server was recorded as not holding the flow recently."""
        since = self.not_held_since.get(key)
        return since is not None and now - since < NOT_HELD_TTL_S

    def deny_all(self, *, started_before: float = math.inf) -> None:
        """Deny pending checks; used when the backend server can't answer them."""
        denied = {
            key: check
            for key, check in self.checks.items()
            if check.started_at < started_before
        }
        for key, check in denied.items():
            del self.checks[key]
            self.transport.return_packet(
                check.balancer, key, check.data, ReturnReason.NOT_HELD
            )

    def expire(self, *, now: float) -> None:
        """Drop negative results and checks older than ``NOT_HELD_TTL_S``."""
        limit = now - NOT_HELD_TTL_S
        self.not_held_since = {
            key: since for key, since in self.not_held_since.items() if since > limit
        }
        self.checks = {
            key: check for key, check in self.checks.items() if check.started_at > limit
        }
