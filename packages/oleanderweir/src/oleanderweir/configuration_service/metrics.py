"""Counters of reads from the platform's services."""

from __future__ import annotations

from prometheus_client import Counter


PLATFORM_READS = Counter(
    "oleanderweir_platform_reads",
    "Calls to the platform's services, by path and outcome.",
    ["path", "outcome"],
)
PLATFORM_READ_RETRIES = Counter(
    "oleanderweir_platform_read_retries",
    "Calls to the platform's services that were repeated, by reason.",
    ["reason"],
)
