"""Probes of an emulated backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.forwarding import ProbeOutcome
from oleanderweir_bench.packet_path.virtual_network import ONE_WAY_DELAY_S


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


@attrs.frozen(kw_only=True, eq=False)
class EmulatedProbe:
    """A backend server accepts connections while it receives packets."""

    address: tuple[str, int]
    network: VirtualNetwork

    async def probe(self) -> ProbeOutcome:
        """Return the outcome of a connection attempt."""
        await trio.sleep(ONE_WAY_DELAY_S)
        if self.address in self.network.listeners:
            return ProbeOutcome.ACCEPTED
        return ProbeOutcome.REFUSED
