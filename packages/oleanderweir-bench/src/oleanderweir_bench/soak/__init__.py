"""Randomized soak test of the real processes on one machine."""

from __future__ import annotations

from oleanderweir_bench.soak.regressions import REGRESSIONS
from oleanderweir_bench.soak.soak import run_soak
from oleanderweir_bench.soak.soak_extras import SoakExtras
from oleanderweir_bench.soak.soak_plan import SoakPlan
from oleanderweir_bench.soak.soak_report import SoakReport


__all__ = ["REGRESSIONS", "SoakExtras", "SoakPlan", "SoakReport", "run_soak"]
