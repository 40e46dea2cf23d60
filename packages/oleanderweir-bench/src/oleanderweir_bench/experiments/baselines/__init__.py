"""Baseline policies with which the experiments compare those of the agent."""

from __future__ import annotations

from oleanderweir_bench.experiments.baselines.aimd_limit import AimdLimit
from oleanderweir_bench.experiments.baselines.gradient_limit import GradientLimit
from oleanderweir_bench.experiments.baselines.random_chooser import RandomChooser
from oleanderweir_bench.experiments.baselines.reserved_slots_policy import (
    ReservedSlotsPolicy,
)
from oleanderweir_bench.experiments.baselines.round_robin_chooser import (
    RoundRobinChooser,
)
from oleanderweir_bench.experiments.baselines.two_choices_chooser import (
    TwoChoicesChooser,
)
from oleanderweir_bench.experiments.baselines.unlimited import Unlimited


__all__ = [
    "AimdLimit",
    "GradientLimit",
    "RandomChooser",
    "ReservedSlotsPolicy",
    "RoundRobinChooser",
    "TwoChoicesChooser",
    "Unlimited",
]
