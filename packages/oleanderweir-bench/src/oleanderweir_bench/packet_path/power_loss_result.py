"""What a loss of all power costs, and how long its lost flows wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Sequence

    from oleanderweir_bench.packet_path.lost_flow import LostFlow
    from oleanderweir_bench.packet_path.site_result import SiteResult


@attrs.frozen(kw_only=True)
class PowerLossResult:
    """
    The datagrams between processes after the loss, and the lost flows.

    ``back_at`` is when all processes and backend servers had started again, on trio's
    clock. ``looked_up`` are the lost flows whose callers went on sending.
    """

    agents: int
    back_at: float
    looked_up: Sequence[LostFlow]
    datagrams: Counter[str]
    datagram_bytes: Counter[str]
    site: SiteResult

    @property
    def queries_per_flow(self) -> float:
        """How often an agent was asked for a lost flow, on average over the flows."""
        return sum(flow.queries for flow in self.looked_up) / len(self.looked_up)

    @property
    def most_queries(self) -> int:
        """How often an agent was asked for the lost flow with the most queries."""
        return max(flow.queries for flow in self.looked_up)

    @property
    def longest_wait_s(self) -> float:
        """
        The longest time from a flow's first packet to its reset; infinite without one.

        The time before all backend servers had started doesn't count: until then, one
        that is about to listen may still hold the flow.
        """
        return max(self._wait_s(flow) for flow in self.looked_up)

    def _wait_s(self, flow: LostFlow) -> float:
        if flow.reset_at is None or flow.first_packet_at is None:
            return float("inf")
        return flow.reset_at - max(flow.first_packet_at, self.back_at)
