"""What the agent doesn't know of its backend server's flows, and finds out from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.ownership_check import OwnershipCheck


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport


# How long a flow that the backend server gave back is known not to be held.
NOT_HELD_TTL_S = 5.0


class OwnershipChecker:
    """Packets that the backend server either takes or gives back, and what it gave."""

    def __init__(self, *, transport: AgentTransport) -> None:
        self.transport = transport
        # Balancers that wait to hear whether the backend server holds a flow.
        self.checks: dict[FlowKey, OwnershipCheck] = {}
        # Flows that the backend server gave back, and when.
        self.not_held_since: dict[FlowKey, float] = {}

    def __len__(self) -> int:
        return len(self.checks)

    def start(self, host: str, packet: Packet, *, now: float) -> None:
        """Hand a packet of an unknown flow to the backend server."""
        end_sequence = packet.sequence + packet.payload_bytes
        self.checks[packet.key] = OwnershipCheck(
            balancer=host,
            data=packet.data,
            started_at=now,
            end_sequence=end_sequence if packet.payload_bytes else None,
        )
        self.transport.forward_to_backend(packet.data)

    def pop(self, key: FlowKey) -> OwnershipCheck | None:
        """End the search for a flow; return it."""
        return self.checks.pop(key, None)

    def record_not_held(self, key: FlowKey, *, now: float) -> None:
        """Note that the backend server doesn't hold a flow."""
        self.not_held_since[key] = now

    def on_opening(self, key: FlowKey) -> None:
        """Note that the backend server may hold a flow from now on."""
        self.not_held_since.pop(key, None)

    def is_not_held(self, key: FlowKey, *, now: float) -> bool:
        """Whether the backend server gave a packet of the flow back lately."""
        since = self.not_held_since.get(key)
        return since is not None and now - since < NOT_HELD_TTL_S

    def deny_all(self) -> None:
        """Answer every search, since the backend server never will."""
        for key, check in self.checks.items():
            self.transport.return_packet(
                check.balancer, key, check.data, ReturnReason.NOT_HELD
            )
        self.checks.clear()

    def expire(self, *, now: float) -> None:
        """Forget what is over."""
        limit = now - NOT_HELD_TTL_S
        self.not_held_since = {
            k: since for k, since in self.not_held_since.items() if since > limit
        }
        self.checks = {
            key: check for key, check in self.checks.items() if check.started_at > limit
        }
