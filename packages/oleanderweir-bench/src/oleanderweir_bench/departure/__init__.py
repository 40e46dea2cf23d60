"""What callers see while a backend server leaves."""

from __future__ import annotations

from oleanderweir_bench.departure.departure_experiment import DepartureExperiment
from oleanderweir_bench.departure.departure_result import DepartureResult


__all__ = ["DepartureExperiment", "DepartureResult"]
