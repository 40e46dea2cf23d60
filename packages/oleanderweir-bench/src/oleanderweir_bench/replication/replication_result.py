"""The measurements of a replication experiment."""

from __future__ import annotations

import attrs

from oleanderweir_bench.replication.usage_per_node import UsagePerNode  # noqa: TC001


@attrs.frozen(kw_only=True)
class ReplicationResult:
    """
    The measurements of a replication experiment; times are in seconds.

    ``spread_s`` holds, for each single ticket, the time from its publication until it
    was in force on the last node; ``missed`` counts tickets that missed the timeout.
    In ``rest_reads_per_s`` a waiting watch counts as one read per second.
    ``frozen_spread_s`` holds the times to the last running node while ``frozen`` others
    were suspended, and ``catch_up_s`` the time that these needed afterwards.
    ``replacement_bytes`` are the control bytes of all nodes per replaced node, less the
    control bytes of the same time at rest. ``is_ticket_kept`` is whether the newest
    ticket is in force on every node after the replacement.
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
