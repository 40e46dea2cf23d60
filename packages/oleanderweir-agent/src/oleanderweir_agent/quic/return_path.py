"""Selection of the balancer for packets to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir_agent.quic.balancer_registry import BalancerRegistry


class ReturnPath:
    """
    Selects the balancer that receives the outgoing packets of one connection.

    This is the balancer that forwarded the caller's latest packet. A probe timeout
    (RFC 9002, 6.2) can mean that this balancer is down or frozen. From then on, each
    burst goes to the next recent balancer until a packet of the caller arrives.
    """

    def __init__(
        self, *, registry: BalancerRegistry, balancer: tuple[str, int]
    ) -> None:
        self.registry = registry
        self.balancer = balancer

    def on_packet_received(self, balancer: tuple[str, int]) -> None:
        """Select the balancer that forwarded the caller's latest packet."""
        self.balancer = balancer

    def on_unacknowledged_burst(self) -> None:
        """Select the next balancer, because earlier bursts are unacknowledged."""
        others = sorted(self.registry.others(self.balancer))
        if not others:
            return
        following = [other for other in others if other > self.balancer]
        self.balancer = following[0] if following else others[0]
