"""What an experiment measured."""

from __future__ import annotations

import attrs

from oleanderweir_bench.replication.usage_per_node import UsagePerNode  # noqa: TC001


@attrs.frozen(kw_only=True)
class ExperimentResult:
    """
    What an experiment measured; times are in seconds.

    ``spread_s`` holds, for each single ticket, the time from its publication to the
    last node in force; a ticket that missed the timeout is in ``missed``. Reads a
    second count a waiting watch as one read in each second. ``frozen_spread_s`` holds
    the times to the last running node while ``frozen`` others are stopped, and
    ``catch_up_s`` the time that these need afterwards. ``replacement_bytes`` are the
    control bytes of all nodes for each replaced one, less what rest would have taken.
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
    frozen: int
    frozen_spread_s: list[float]
    catch_up_s: float
    replaced: int
    replacement_bytes: float
    replaced_ready_s: float
    is_replacement_ready: bool
    is_ticket_kept: bool
