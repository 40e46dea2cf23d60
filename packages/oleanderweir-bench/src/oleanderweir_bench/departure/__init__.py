"""Measures the effect of departing backend servers on callers."""

from __future__ import annotations

from oleanderweir_bench.departure.departure_experiment import DepartureExperiment
from oleanderweir_bench.departure.departure_result import DepartureResult


__all__ = ["DepartureExperiment", "DepartureResult"]
