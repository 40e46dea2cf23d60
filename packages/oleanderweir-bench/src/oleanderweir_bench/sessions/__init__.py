"""Measures the cost of open sessions in each process."""

from __future__ import annotations

from oleanderweir_bench.sessions.session_cost import SessionCost
from oleanderweir_bench.sessions.session_cost_experiment import SessionCostExperiment


__all__ = ["SessionCost", "SessionCostExperiment"]
