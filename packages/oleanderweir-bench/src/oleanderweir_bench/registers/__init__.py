"""Measures the cost of the ticket register."""

from __future__ import annotations

from oleanderweir_bench.registers.register_cost import RegisterCost
from oleanderweir_bench.registers.register_measurement import RegisterMeasurement


__all__ = ["RegisterCost", "RegisterMeasurement"]
