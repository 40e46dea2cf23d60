"""Experiments in virtual time around the real decisions of the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_bench.experiments.imbalance import ImbalanceExperiment
from oleanderweir_bench.experiments.peak import PeakExperiment
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.stragglers import StragglersExperiment


if TYPE_CHECKING:
    from collections.abc import Callable


FEWER_SLOTS_SHARE = 0.67


def run_peak(seed: int) -> list[ResultTable]:
    """Run the crest with the slots that the tickets say."""
    return [PeakExperiment(seed=seed).run()]


def run_peak_fewer_slots(seed: int) -> list[ResultTable]:
    """Run the crest with fewer slots, and a backlog that hides it."""
    return [PeakExperiment(seed=seed, true_slots_share=FEWER_SLOTS_SHARE).run()]


def run_peak_shedding(seed: int) -> list[ResultTable]:
    """Run the crest with fewer slots, and sheds that show it."""
    return [
        PeakExperiment(seed=seed, true_slots_share=FEWER_SLOTS_SHARE, backlog=0).run()
    ]


def run_stragglers(seed: int) -> list[ResultTable]:
    """Run the stragglers."""
    return [StragglersExperiment(seed=seed).run()]


def run_imbalance(seed: int) -> list[ResultTable]:
    """Run the imbalance."""
    return [ImbalanceExperiment(seed=seed).run()]


EXPERIMENTS: dict[str, Callable[[int], list[ResultTable]]] = {
    "crest": run_peak,
    "crest-fewer-slots": run_peak_fewer_slots,
    "crest-shedding": run_peak_shedding,
    "imbalance": run_imbalance,
    "stragglers": run_stragglers,
}


__all__ = [
    "EXPERIMENTS",
    "PeakExperiment",
    "ImbalanceExperiment",
    "ResultTable",
    "StragglersExperiment",
]
