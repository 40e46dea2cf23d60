"""The interface through which lookups send packets and report results."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.peering.messages import DeliveryPurpose


class LookupTransport(Protocol):
    """Sends queries of lookups, and receives and logs their results."""

    def deliver(
        self,
        host: str,
        packet: Packet,
        purpose: DeliveryPurpose,
        *,
        hosts: tuple[str, ...] = (),
    ) -> None:
        """Send a packet to an agent; ``hosts`` restricts a delegated lookup."""

    def on_owner_found(self, key: FlowKey, host: str) -> None:
        """Handle a lookup that found the agent that holds a flow."""

    def notify_delegate(self, delegate: str, key: FlowKey, host: str) -> None:
        """Notify a delegate of the agent that holds a flow, so that it stops asking."""

    def on_no_owner(self, packet: Packet) -> None:
        """Handle a lookup that found no owner for a packet's flow."""

    def log(self, code: str, key: FlowKey, **inputs: object) -> None:
        """Log a decision about a flow, with its inputs."""
