"""The measurement of spreading with real nodes."""

from __future__ import annotations

from oleanderweir_bench.spreading.experiment import Experiment
from oleanderweir_bench.spreading.experiment_plan import ExperimentPlan
from oleanderweir_bench.spreading.experiment_result import ExperimentResult
from oleanderweir_bench.spreading.markdown_table import make_table


__all__ = ["Experiment", "ExperimentPlan", "ExperimentResult", "make_table"]
