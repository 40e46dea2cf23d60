"""Interface for sending packets to callers."""

from __future__ import annotations

from typing import Protocol


class PacketSender(Protocol):
    """Sends packets to callers through balancers."""

    def send(
        self,
        *,
        data: bytes,
        caller: tuple[str, int],
        service: bytes,
        balancer: tuple[str, int],
    ) -> None:
        """Send a packet of a service to a caller through a balancer."""
