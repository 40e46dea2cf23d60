"""What an experiment measured."""

from __future__ import annotations

import attrs

from oleanderweir_bench.spreading.usage_per_node import UsagePerNode  # noqa: TC001


@attrs.frozen(kw_only=True)
class ExperimentResult:
    """
    What an experiment measured; times are in seconds.

    ``spread_s`` holds, for each single ticket, the time from its publication to the
    last node in force; a ticket that missed the timeout is in ``missed``. Reads a
    second count a waiting watch as one read in each second.
    """

    node_count: int
    boot_s: float
    spread_s: list[float]
    missed: int
    rest: UsagePerNode
    singles: UsagePerNode
    burst: UsagePerNode
    burst_s: float
    is_burst_complete: bool
    rest_reads_per_s: float
    peak_reads_per_s: int
    waiting_watches: int
    replaced: int
    replaced_ready_s: float
    is_replacement_ready: bool
    is_ticket_kept: bool
