"""Measures the replication of tickets between real nodes."""

from __future__ import annotations

from oleanderweir_bench.replication.markdown_table import make_table
from oleanderweir_bench.replication.replication_experiment import ReplicationExperiment
from oleanderweir_bench.replication.replication_plan import ReplicationPlan
from oleanderweir_bench.replication.replication_result import ReplicationResult


__all__ = [
    "ReplicationExperiment",
    "ReplicationPlan",
    "ReplicationResult",
    "make_table",
]
