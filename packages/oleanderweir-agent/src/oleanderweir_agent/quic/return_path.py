"""The balancer through which an agent answers a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir_agent.quic.balancer_registry import BalancerRegistry


class ReturnPath:
    """
    Chooses the balancer for the packets of one connection.

    It is the one that last carried a packet of the caller. When a probe timeout
    (RFC 9002, 6.2) finds an answer unacknowledged, that balancer may be dead or
    frozen, so each probe takes another one in turn.
    """

    def __init__(
        self, *, registry: BalancerRegistry, balancer: tuple[str, int]
    ) -> None:
        self.registry = registry
        self.balancer = balancer
        self.switches = 0

    def note_received(self, balancer: tuple[str, int]) -> None:
        """Take the balancer that carried the caller's latest packet."""
        self.balancer = balancer
        self.switches = 0

    def note_probe(self) -> None:
        """Take another balancer, since the last burst was not acknowledged."""
        others = self.registry.others(self.balancer)
        if not others:
            return
        self.balancer = others[self.switches % len(others)]
        self.switches += 1
