"""The cost of forwarding, compared with a bare relay in the same run."""

from __future__ import annotations

from oleanderweir_bench.forwarding.forwarding_benchmark import ForwardingBenchmark
from oleanderweir_bench.forwarding.forwarding_cost import ForwardingCost


__all__ = ["ForwardingBenchmark", "ForwardingCost"]
