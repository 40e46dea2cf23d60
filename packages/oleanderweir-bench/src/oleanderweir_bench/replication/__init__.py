"""Measures the replication of tickets between real nodes."""

from __future__ import annotations

from oleanderweir_bench.replication.experiment import Experiment
from oleanderweir_bench.replication.experiment_plan import ExperimentPlan
from oleanderweir_bench.replication.experiment_result import ExperimentResult
from oleanderweir_bench.replication.markdown_table import make_table


__all__ = ["Experiment", "ExperimentPlan", "ExperimentResult", "make_table"]
