"""What a search for the owner of a flow sends."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.peering.messages import DeliveryPurpose


class LookupTransport(Protocol):
    """The ways of the process that searches."""

    def deliver(self, host: str, packet: Packet, purpose: DeliveryPurpose) -> None:
        """Send a packet to an agent."""

    def on_owner_found(self, key: FlowKey, host: str) -> None:
        """Pass on who holds a flow."""

    def on_no_owner(self, packet: Packet) -> None:
        """Pass on that nobody holds a packet's flow."""

    def log(self, code: str, key: FlowKey, **inputs: object) -> None:
        """Log a decision about a flow, with its inputs."""
