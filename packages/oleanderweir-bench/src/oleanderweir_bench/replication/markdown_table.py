"""Formats results as a Markdown table."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_bench.replication.replication_result import ReplicationResult


MEBIBYTE = 2**20


def make_table(results: Sequence[ReplicationResult]) -> str:
    """Return a Markdown table with one column per result."""
    columns = [make_column(result) for result in results]
    names = list(columns[0])
    lines = [
        "| quantity |" + " |".join(f" {r.node_count} nodes" for r in results) + " |"
    ]
    lines.append("| --- |" + " --- |" * len(columns))
    for name in names:
        cells = " | ".join(column[name] for column in columns)
        lines.append(f"| {name} | {cells} |")
    return "\n".join(lines)


def make_column(result: ReplicationResult) -> dict[str, str]:
    """Return the cells of one result by row name."""
    spread_s = sorted(result.spread_s) or [float("nan")]
    return {
        "all started at once, all ready after, s": f"{result.boot_s:.2f}",
        "ticket to last node, median, s": f"{spread_s[len(spread_s) // 2]:.3f}",
        "ticket to last node, longest, s": f"{spread_s[-1]:.3f}",
        "tickets that missed the timeout": str(result.missed),
        "burst to last node, s": f"{result.burst_s:.2f}",
        "burst complete": format_bool(result.is_burst_complete),
        "control bytes per node at rest, B/s": f"{result.rest.control_bytes_per_s:.0f}",
        "control bytes per node, single tickets, B/s": (
            f"{result.singles.control_bytes_per_s:.0f}"
        ),
        "control bytes per node in the burst, B": (
            f"{result.burst.control_bytes_per_s * result.burst.duration_s:.0f}"
        ),
        "processor time per node at rest, ms/s": f"{result.rest.cpu_ms_per_s:.2f}",
        "processor time per node, single tickets, ms/s": (
            f"{result.singles.cpu_ms_per_s:.2f}"
        ),
        "memory per node, MiB": f"{result.rest.memory_bytes / MEBIBYTE:.2f}",
        "reads at rest, 1/s": f"{result.rest_reads_per_s:.1f}",
        "most reads in a second": str(result.peak_reads_per_s),
        "waiting watches": str(result.waiting_watches),
        "nodes frozen for 30 s": str(result.frozen),
        "ticket to last running node meanwhile, longest, s": (
            f"{max(result.frozen_spread_s, default=float('nan')):.3f}"
        ),
        "frozen nodes caught up after, s": f"{result.catch_up_s:.2f}",
        "nodes replaced with the service down or stale": str(result.replaced),
        "control bytes for each replaced node, B": f"{result.replacement_bytes:.0f}",
        "replacements ready": format_bool(result.is_replacement_ready),
        "newest ticket kept by all": format_bool(result.is_ticket_kept),
    }


def format_bool(is_true: bool) -> str:  # noqa: FBT001
    """Return ``yes`` or ``no``."""
    return "yes" if is_true else "no"
