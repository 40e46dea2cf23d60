"""The usage of a node in one phase of the experiment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_bench.replication.messages import WorkerUsage


@attrs.frozen(kw_only=True)
class UsagePerNode:
    """
    Averages over all nodes and the duration of a phase.

    ``memory_bytes`` is read at the end of the phase; ``budget_delay_s`` is the total
    time that messages waited during the phase because the control budget was spent.
    """

    duration_s: float
    cpu_ms_per_s: float
    control_bytes_per_s: float
    memory_bytes: float
    budget_delay_s: float

    @classmethod
    def between(
        cls,
        before: Sequence[WorkerUsage],
        after: Sequence[WorkerUsage],
        *,
        node_count: int,
    ) -> UsagePerNode:
        """Return the usage per node between two readings of all workers."""
        duration_s = after[0].at_s - before[0].at_s
        pairs = list(zip(before, after, strict=True))
        cpu_s = sum(late.cpu_s - early.cpu_s for early, late in pairs)
        control_bytes = sum(
            total_bytes(late) - total_bytes(early) for early, late in pairs
        )
        delay_s = sum(
            late.budget_delay_s - early.budget_delay_s for early, late in pairs
        )
        node_seconds = node_count * duration_s
        return cls(
            duration_s=duration_s,
            cpu_ms_per_s=1000 * cpu_s / node_seconds,
            control_bytes_per_s=control_bytes / node_seconds,
            memory_bytes=sum(late.memory_bytes for late in after) / node_count,
            budget_delay_s=delay_s / node_count,
        )


def total_bytes(usage: WorkerUsage) -> float:
    """Return the control bytes sent and received."""
    return usage.sent_bytes + usage.received_bytes
