"""What open sessions cost each process."""

from __future__ import annotations

from oleanderweir_bench.sessions.session_cost import SessionCost
from oleanderweir_bench.sessions.session_cost_experiment import SessionCostExperiment


__all__ = ["SessionCost", "SessionCostExperiment"]
