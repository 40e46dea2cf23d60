"""The balancer through which an agent answers a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir_agent.quic.balancer_registry import BalancerRegistry


class ReturnPath:
    """
    Chooses the balancer for the packets of one connection.

    It is the one that last carried a packet of the caller. After a probe timeout
    (RFC 9002, 6.2) that balancer may be dead or frozen, so each burst takes another
    one in turn until the caller is heard again.
    """

    def __init__(
        self, *, registry: BalancerRegistry, balancer: tuple[str, int]
    ) -> None:
        self.registry = registry
        self.balancer = balancer

    def on_packet_received(self, balancer: tuple[str, int]) -> None:
        """Take the balancer that carried the caller's latest packet."""
        self.balancer = balancer

    def on_unacknowledged_burst(self) -> None:
        """Take the next balancer, since earlier bursts were not acknowledged."""
        others = sorted(self.registry.others(self.balancer))
        if not others:
            return
        following = [other for other in others if other > self.balancer]
        self.balancer = following[0] if following else others[0]
